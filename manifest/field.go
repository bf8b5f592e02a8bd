package manifest

import (
	"reflect"
	"strings"
)

// field is the JSON name of a struct field and whether it is optional.
type field struct {
	name     string
	optional bool
}

// fieldsOf returns the fields of a struct type by index. Fields with omitempty are optional.
func fieldsOf(t reflect.Type) []field {
	fields := make([]field, t.NumField())
	for i := range fields {
		name, option, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[i] = field{name: name, optional: option == "omitempty"}
	}
	return fields
}

// fieldIndex returns the index of the field with the given name, or -1.
func fieldIndex(fields []field, name string) int {
	for i, f := range fields {
		if f.name == name {
			return i
		}
	}
	return -1
}

// fieldNames returns the names as a comma-separated list for a remedy.
func fieldNames(fields []field) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.name
	}
	return strings.Join(list, ", ")
}

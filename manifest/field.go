package manifest

import (
	"reflect"
	"strings"
)

// field is a field of a struct as it appears in JSON.
type field struct {
	name     string
	optional bool
}

// fieldsOf lists the fields of a struct by index; those with omitempty are optional.
func fieldsOf(t reflect.Type) []field {
	fields := make([]field, t.NumField())
	for i := range fields {
		name, option, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[i] = field{name: name, optional: option == "omitempty"}
	}
	return fields
}

func indexOf(fields []field, name string) int {
	for i, f := range fields {
		if f.name == name {
			return i
		}
	}
	return -1
}

func names(fields []field) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.name
	}
	return strings.Join(list, ", ")
}

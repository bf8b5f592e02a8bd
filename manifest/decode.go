package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"strconv"
	"unicode/utf8"
)

// maxDepth bounds the nesting of a document; a manifest needs five levels.
const maxDepth = 16

// decoder reads JSON into structs without the leniencies of encoding/json: unknown, repeated and missing fields,
// names in another case and null are problems, and every problem is reported with its path.
type decoder struct {
	problems
	json *json.Decoder
}

// decode reads a document into target, a pointer to a struct or slice.
func decode(data []byte, target any) error {
	d := &decoder{json: json.NewDecoder(bytes.NewReader(data))}
	d.json.UseNumber()
	switch {
	case len(data) > MaxBytes:
		d.add("", "remove unused customers, models or services", "the document has %d bytes, at most %d are allowed",
			len(data), MaxBytes)
	case !utf8.Valid(data):
		d.add("", "encode the document as UTF-8", "the document is not valid UTF-8")
	default:
		err := d.value("", reflect.ValueOf(target).Elem(), 0)
		if err == nil {
			if _, err = d.json.Token(); errors.Is(err, io.EOF) {
				err = nil
			} else if err == nil {
				err = errors.New("data after the end of the document")
			}
		}
		if err != nil {
			d.add("", "write one complete JSON document", "not valid JSON near byte %d: %v", d.json.InputOffset(), err)
		}
	}
	return d.err()
}

// value reads the next JSON value; the error is about syntax, after which reading can't go on.
func (d *decoder) value(path string, target reflect.Value, depth int) error {
	token, err := d.json.Token()
	if err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	if depth > maxDepth {
		return errors.New("the document is nested too deeply")
	}
	if delimiter, ok := token.(json.Delim); ok {
		return d.composite(path, delimiter, target, depth)
	}
	d.scalar(path, token, target)
	return nil
}

func (d *decoder) composite(path string, open json.Delim, target reflect.Value, depth int) error {
	switch {
	case open == '{' && target.Kind() == reflect.Struct:
		return d.object(path, target, depth)
	case open == '[' && target.Kind() == reflect.Slice:
		return d.array(path, target, depth)
	}
	if target.IsValid() {
		found := "an object"
		if open == '[' {
			found = "an array"
		}
		d.mismatch(path, target, found)
	}
	return d.skip(open, depth)
}

// skip reads the rest of a value that has no place in the target.
func (d *decoder) skip(open json.Delim, depth int) error {
	for d.json.More() {
		if open == '{' {
			if _, err := d.json.Token(); err != nil {
				return err
			}
		}
		if err := d.value("", reflect.Value{}, depth+1); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) object(path string, target reflect.Value, depth int) error {
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool, len(fields))
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		below := join(path, name)
		var field reflect.Value
		if i := indexOf(fields, name); i < 0 {
			d.add(below, "remove it or use one of "+names(fields), "unknown field")
		} else if seen[name] {
			d.add(below, "keep one of the occurrences", "the field occurs more than once")
		} else {
			field = target.Field(i)
		}
		seen[name] = true
		if err := d.value(below, field, depth+1); err != nil {
			return err
		}
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			d.add(join(path, f.name), "add the field", "the field is missing")
		}
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) array(path string, target reflect.Value, depth int) error {
	for i := 0; d.json.More(); i++ {
		element := reflect.New(target.Type().Elem()).Elem()
		if err := d.value(fmt.Sprintf("%s[%d]", path, i), element, depth+1); err != nil {
			return err
		}
		target.Set(reflect.Append(target, element))
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) scalar(path string, token json.Token, target reflect.Value) {
	if !target.IsValid() {
		return
	}
	switch v := token.(type) {
	case string:
		if target.Kind() == reflect.String {
			target.SetString(v)
			return
		}
		d.mismatch(path, target, "a string")
	case bool:
		if target.Kind() == reflect.Bool {
			target.SetBool(v)
			return
		}
		d.mismatch(path, target, "a boolean")
	case json.Number:
		d.number(path, v.String(), target)
	default:
		d.mismatch(path, target, "null")
	}
}

func (d *decoder) number(path, text string, target reflect.Value) {
	switch {
	case target.CanInt():
		n, err := strconv.ParseInt(text, 10, target.Type().Bits())
		if err != nil {
			d.add(path, "write a whole number within 64 bits, without fraction or exponent", "%s is not an accepted number", text)
			return
		}
		target.SetInt(n)
	case target.CanFloat():
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsInf(n, 0) {
			d.add(path, "write a number within the range of 64-bit floating point", "%s is out of range", text)
			return
		}
		target.SetFloat(n)
	default:
		d.mismatch(path, target, "a number")
	}
}

func (d *decoder) mismatch(path string, target reflect.Value, found string) {
	d.add(path, "write "+expected(target), "found %s", found)
}

func expected(target reflect.Value) string {
	switch target.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

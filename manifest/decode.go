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

// maxDepth is the maximum nesting depth of a document; a manifest needs five levels.
const maxDepth = 16

// decoder decodes JSON into structs more strictly than encoding/json: unknown, duplicate and missing fields, names in
// another case and null are problems. It reports every problem with its path.
type decoder struct {
	problems
	json *json.Decoder
}

// decode decodes a document into target, which must be a pointer to a struct or slice. The error is an *InvalidError.
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
		err := d.decodeValue("", reflect.ValueOf(target).Elem(), 0)
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

// decodeValue decodes the next JSON value into target; the zero reflect.Value discards it. Its error is a syntax error or
// an excessive depth, after which decoding can't continue; all other problems are collected.
func (d *decoder) decodeValue(path string, target reflect.Value, depth int) error {
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
		return d.decodeComposite(path, delimiter, target, depth)
	}
	d.decodeScalar(path, token, target)
	return nil
}

// decodeComposite decodes an object or array whose opening delimiter has been read.
func (d *decoder) decodeComposite(path string, opening json.Delim, target reflect.Value, depth int) error {
	switch {
	case opening == '{' && target.Kind() == reflect.Struct:
		return d.decodeObject(path, target, depth)
	case opening == '[' && target.Kind() == reflect.Slice:
		return d.decodeArray(path, target, depth)
	}
	if target.IsValid() {
		found := "an object"
		if opening == '[' {
			found = "an array"
		}
		d.addMismatch(path, target, found)
	}
	return d.skipComposite(opening, depth)
}

// skipComposite discards the rest of an object or array that doesn't fit the target.
func (d *decoder) skipComposite(opening json.Delim, depth int) error {
	for d.json.More() {
		if opening == '{' {
			if _, err := d.json.Token(); err != nil {
				return err
			}
		}
		if err := d.decodeValue("", reflect.Value{}, depth+1); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) decodeObject(path string, target reflect.Value, depth int) error {
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool, len(fields))
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		fieldPath := joinPath(path, name)
		var field reflect.Value
		if i := fieldIndex(fields, name); i < 0 {
			d.add(fieldPath, "remove it or use one of "+fieldNames(fields), "unknown field")
		} else if seen[name] {
			d.add(fieldPath, "keep one of the occurrences", "the field occurs more than once")
		} else {
			field = target.Field(i)
		}
		seen[name] = true
		if err := d.decodeValue(fieldPath, field, depth+1); err != nil {
			return err
		}
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			d.add(joinPath(path, f.name), "add the field", "the field is missing")
		}
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) decodeArray(path string, target reflect.Value, depth int) error {
	for i := 0; d.json.More(); i++ {
		element := reflect.New(target.Type().Elem()).Elem()
		if err := d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, depth+1); err != nil {
			return err
		}
		target.Set(reflect.Append(target, element))
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) decodeScalar(path string, token json.Token, target reflect.Value) {
	if !target.IsValid() {
		return
	}
	switch v := token.(type) {
	case string:
		if target.Kind() == reflect.String {
			target.SetString(v)
			return
		}
		d.addMismatch(path, target, "a string")
	case bool:
		if target.Kind() == reflect.Bool {
			target.SetBool(v)
			return
		}
		d.addMismatch(path, target, "a boolean")
	case json.Number:
		d.decodeNumber(path, v.String(), target)
	default:
		d.addMismatch(path, target, "null")
	}
}

func (d *decoder) decodeNumber(path, text string, target reflect.Value) {
	switch {
	case target.CanInt():
		parsed, err := strconv.ParseInt(text, 10, target.Type().Bits())
		if err != nil {
			d.add(path, "write a whole number within 64 bits, without fraction or exponent", "%s is not an accepted number", text)
			return
		}
		target.SetInt(parsed)
	case target.CanFloat():
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsInf(parsed, 0) {
			d.add(path, "write a number within the range of 64-bit floating point", "%s is out of range", text)
			return
		}
		target.SetFloat(parsed)
	default:
		d.addMismatch(path, target, "a number")
	}
}

// addMismatch adds the problem that a value has another JSON type than the target.
func (d *decoder) addMismatch(path string, target reflect.Value, found string) {
	d.add(path, "write "+expectedType(target), "found %s", found)
}

// expectedType returns the JSON type that the target requires, as text for a remedy.
func expectedType(target reflect.Value) string {
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

// joinPath appends a field name to the path of the object that contains it.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

package completion

import (
	"encoding/json"
	"fmt"
)

// field is a member of a JSON object. value is a slice of the object's text.
type field struct {
	name  string
	value []byte
}

// splitObject returns the members of the JSON object in text without copying their values: decoding a million-token prompt
// into Go values would keep it in memory twice.
func splitObject(text []byte) ([]field, error) {
	if !json.Valid(text) {
		var v any
		return nil, json.Unmarshal(text, &v)
	}
	i := skipSpace(text, 0)
	if text[i] != '{' {
		return nil, fmt.Errorf("the body is not a JSON object")
	}
	i = skipSpace(text, i+1)
	var fields []field
	for text[i] != '}' {
		if text[i] == ',' {
			i = skipSpace(text, i+1)
		}
		end := skipString(text, i)
		var name string
		if err := json.Unmarshal(text[i:end], &name); err != nil {
			return nil, err
		}
		i = skipSpace(text, end)
		i = skipSpace(text, i+1)
		end = skipValue(text, i)
		for _, f := range fields {
			if f.name == name {
				return nil, fmt.Errorf("field %q appears twice", name)
			}
		}
		fields = append(fields, field{name: name, value: text[i:end]})
		i = skipSpace(text, end)
	}
	return fields, nil
}

// skipSpace returns the index of the first byte at or after i that is not white space.
func skipSpace(text []byte, i int) int {
	for text[i] == ' ' || text[i] == '\t' || text[i] == '\n' || text[i] == '\r' {
		i++
	}
	return i
}

// skipString returns the index after the string that starts at i.
func skipString(text []byte, i int) int {
	for i++; text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i + 1
}

// skipValue returns the index after the value that starts at i. The text must be valid JSON.
func skipValue(text []byte, i int) int {
	depth := 0
	for {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '{', '[':
			depth++
			i++
		case '}', ']':
			depth--
			i++
		case ',', ':', ' ', '\t', '\n', '\r':
			i++
		default:
			i = skipLiteral(text, i)
		}
		if depth == 0 {
			return i
		}
	}
}

// skipLiteral returns the index after the number, true, false or null that starts at i.
func skipLiteral(text []byte, i int) int {
	for i < len(text) {
		switch text[i] {
		case ',', '}', ']', ' ', '\t', '\n', '\r':
			return i
		}
		i++
	}
	return i
}

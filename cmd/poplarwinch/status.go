package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// statusCommand shows the status of an instance.
type statusCommand struct {
	operator
	JSON bool `arg:"--json" help:"write the status as JSON"`
}

func (c *statusCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	answer, err := c.request(ctx, http.MethodGet, "/status", nil, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(stdout, answer)
	}
	status, err := decodeJSON(answer)
	if err != nil {
		return err
	}
	writeLines(stdout, "", status)
	return nil
}

// writeLines writes one line for each value, with the path to it.
func writeLines(w io.Writer, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			writeLines(w, strings.TrimPrefix(path+"."+name, "."), v[name])
		}
	case []any:
		for i, element := range v {
			writeLines(w, fmt.Sprintf("%s[%d]", path, i), element)
		}
	default:
		fmt.Fprintf(w, "%s: %v\n", path, v)
	}
}

// writeJSON writes an answer with indentation.
func writeJSON(w io.Writer, answer []byte) error {
	value, err := decodeJSON(answer)
	if err != nil {
		return err
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

func decodeJSON(answer []byte) (any, error) {
	d := json.NewDecoder(strings.NewReader(string(answer)))
	d.UseNumber()
	var value any
	if err := d.Decode(&value); err != nil {
		return nil, failed("check that the address is that of the operator interface", "the answer is not JSON: %v", err)
	}
	return value, nil
}

package completion_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/completion"
)

func ExampleParse() {
	body := `{"model":"drafting:notes","prompt":"Summarise the shift report.","max_tokens":8}`
	r, err := completion.Parse(completion.FormatText, []byte(body))
	fmt.Println(r.Model, r.Adapter, r.MaxTokens, r.Stream, err)
	fmt.Println(string(r.Body))
	// Output:
	// drafting notes 8 false <nil>
	// {"stream":true,"stream_options":{"include_usage":true},"model":"drafting:notes","prompt":"Summarise the shift report.","max_tokens":8}
}

// Guards against malformed input that is accepted, panics, or gives an error without the name of the field.
func TestParseRejects(t *testing.T) {
	cases := []struct {
		name, body, param string
		format            completion.Format
	}{
		{"empty body", ``, "", completion.FormatText},
		{"broken JSON", `{"model":`, "", completion.FormatText},
		{"trailing text", `{"model":"m","prompt":"x"} {}`, "", completion.FormatText},
		{"list", `[]`, "", completion.FormatText},
		{"duplicate field", `{"model":"m","model":"n","prompt":"x"}`, "", completion.FormatText},
		{"no model", `{"prompt":"x"}`, "model", completion.FormatText},
		{"model of wrong type", `{"model":1,"prompt":"x"}`, "model", completion.FormatText},
		{"no prompt", `{"model":"m"}`, "prompt", completion.FormatText},
		{"several prompts", `{"model":"m","prompt":["x","y"]}`, "prompt", completion.FormatText},
		{"no messages", `{"model":"m","messages":[ ]}`, "messages", completion.FormatChat},
		{"zero tokens", `{"model":"m","prompt":"x","max_tokens":0}`, "max_tokens", completion.FormatText},
		{"fractional tokens", `{"model":"m","prompt":"x","max_tokens":1.5}`, "max_tokens", completion.FormatText},
		{"two choices", `{"model":"m","prompt":"x","n":2}`, "n", completion.FormatText},
		{"stream of wrong type", `{"model":"m","prompt":"x","stream":"yes"}`, "stream", completion.FormatText},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := completion.Parse(c.format, []byte(c.body))
			var e *poplarwinch.Error
			if !errors.As(err, &e) {
				t.Fatalf("Parse() error = %v, want *poplarwinch.Error", err)
			}
			if e.Kind != poplarwinch.KindInvalidRequest || e.Param != c.param || e.Remedy == "" {
				t.Fatalf("Parse() = kind %q, param %q, remedy %q", e.Kind, e.Param, e.Remedy)
			}
		})
	}
}

// Guards against changing the request: fields that the server does not interpret must reach the engine byte for byte.
func TestParseKeepsOtherFields(t *testing.T) {
	body := `{ "temperature" : 0.5 , "messages":[{"role":"user","content":"a \"quoted\" }{ text"}], "stream": true,
		"stream_options": {"include_usage": true}, "tools": [ {"type":"function"} ], "model" : "m", "seed": -1e3 }`
	r, err := completion.Parse(completion.FormatChat, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	if !r.Stream || !r.IncludeUsage || r.MaxTokens != completion.DefaultMaxTokens {
		t.Fatalf("Parse() = %+v", r)
	}
	var sent map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &sent); err != nil {
		t.Fatalf("rewritten body: %v", err)
	}
	for name, want := range map[string]string{
		"temperature": "0.5", "seed": "-1e3", "tools": `[ {"type":"function"} ]`, "model": `"m"`,
		"messages": `[{"role":"user","content":"a \"quoted\" }{ text"}]`, "max_tokens": "1024",
	} {
		if got := string(sent[name]); got != want {
			t.Errorf("field %s = %s, want %s", name, got, want)
		}
	}
}

// Guards against different hashes for a common prefix, and equal hashes for different models.
func TestBlocksFollowPrefix(t *testing.T) {
	shared := strings.Repeat("shift report ", 1000)
	a := completion.Blocks("m", "", []byte(shared+strings.Repeat("a", 5000)))
	b := completion.Blocks("m", "", []byte(shared+strings.Repeat("b", 5000)))
	other := completion.Blocks("n", "", []byte(shared))
	if len(a) < 4 || a[2] != b[2] || a[3] == b[3] || a[0] == other[0] {
		t.Fatalf("blocks a %x, b %x, other model %x", a, b, other)
	}
}

// FuzzParse checks that Parse does not panic and that rewritten bodies are valid JSON.
func FuzzParse(f *testing.F) {
	f.Add(`{"model":"m","prompt":"x","max_tokens":3}`)
	f.Add(`{"model":"m","messages":[{"role":"user","content":"\u0000"}],"stream":true}`)
	f.Add(`{"a":{"b":[1,2,{"c":"\\\""}]},"model":"m:a"}`)
	f.Fuzz(func(t *testing.T, body string) {
		for _, format := range []completion.Format{completion.FormatChat, completion.FormatText} {
			r, err := completion.Parse(format, []byte(body))
			if err == nil && !json.Valid(r.Body) {
				t.Fatalf("rewritten body is not valid JSON: %s", r.Body)
			}
		}
	})
}

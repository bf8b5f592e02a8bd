package completion_test

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/completion"
)

// Guards against responses with missing or misplaced parts.
func TestAssemblerBuildsCompleteResponse(t *testing.T) {
	cases := []struct {
		name   string
		format completion.Format
		chunks []string
		want   string
	}{
		{
			"text", completion.FormatText,
			[]string{
				`{"id":"c1","created":7,"model":"m","choices":[{"index":0,"text":"a ","finish_reason":null}]}`,
				`{"id":"c1","created":7,"model":"m","choices":[{"index":0,"text":"b","finish_reason":"stop"}]}`,
				`{"id":"c1","created":7,"model":"m","choices":[],"usage":{"total_tokens":3}}`,
			},
			`{"id":"c1","object":"text_completion","created":7,"model":"m","choices":[{"index":0,"text":"a b","logprobs":null,"finish_reason":"stop"}],"usage":{"total_tokens":3}}`,
		},
		{
			"chat with a tool call", completion.FormatChat,
			[]string{
				`{"id":"c2","created":7,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":null}}]}`,
				`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"book","arguments":"{\"ro"}}]}}]}`,
				`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"om\":4}"}}]}}]}`,
				`{"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`,
			},
			`{"id":"c2","object":"chat.completion","created":7,"model":"m","choices":[{"index":0,"message":{"content":null,"refusal":null,"role":"assistant","tool_calls":[{"id":"t1","type":"function","function":{"name":"book","arguments":"{\"room\":4}"}}]},"logprobs":null,"finish_reason":"tool_calls"}]}`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := completion.NewAssembler(c.format, 1<<20)
			for _, data := range c.chunks {
				if err := a.Add([]byte(data)); err != nil {
					t.Fatal(err)
				}
			}
			got, err := a.Response()
			if err != nil || string(got) != c.want {
				t.Fatalf("Response() = %s, %v\nwant %s", got, err, c.want)
			}
		})
	}
}

// Guards against accepting a truncated stream or one above the size limit.
func TestAssemblerRejectsIncompleteAndOversized(t *testing.T) {
	a := completion.NewAssembler(completion.FormatText, 200)
	if err := a.Add([]byte(`{"choices":[{"index":0,"text":"half of"}]}`)); err != nil {
		t.Fatal(err)
	}
	if response, err := a.Response(); err == nil {
		t.Fatalf("Response() = %s without a finish reason", response)
	}
	var err error
	for range 10 {
		err = a.Add([]byte(`{"choices":[{"index":0,"text":"more and more"}]}`))
	}
	if err == nil {
		t.Fatal("Add() accepted more than the limit")
	}
}

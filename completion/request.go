package completion

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/poplarwinch/poplarwinch"
)

// DefaultMaxTokens is the limit of generated tokens for requests without one.
const DefaultMaxTokens poplarwinch.Tokens = 1024

// Request is a parsed completion request.
type Request struct {
	Format  Format
	Model   poplarwinch.ModelName
	Adapter poplarwinch.AdapterName
	// Stream is set if the caller requested a streamed response.
	Stream bool
	// IncludeUsage is set if the caller requested a usage chunk at the end of the stream.
	IncludeUsage bool
	// MaxTokens is the limit of generated tokens.
	MaxTokens poplarwinch.Tokens
	// PromptBytes is the size of the prompt's JSON text; the quotes of a string do not count.
	PromptBytes poplarwinch.Bytes
	// Blocks are the hashes of the prompt's prefix blocks; see the function Blocks.
	Blocks []uint64
	// SharedParts identify the parts of the prompt that other requests may have in common, in order.
	SharedParts []poplarwinch.PromptPartID
	// UnidentifiedParts is the number of such parts beyond poplarwinch.MaxSharedParts.
	UnidentifiedParts int
	// Body is the request body for the engine. It always requests a stream with usage.
	Body []byte
}

// streamOptions is the JSON form of the stream_options field.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Parse parses a caller's request body and rewrites it for the engine. Its errors are of type *poplarwinch.Error.
func Parse(format Format, body []byte) (*Request, error) {
	fields, err := splitObject(body)
	if err != nil {
		return nil, invalid("", "the body can't be read as JSON: "+describe(err), "send one JSON object")
	}
	r := &Request{Format: format, MaxTokens: DefaultMaxTokens}
	var prompt []byte
	for _, f := range fields {
		if f.name == format.promptField() {
			prompt = f.value
			continue
		}
		if err := r.set(f); err != nil {
			return nil, err
		}
	}
	if r.Model == "" {
		return nil, invalid("model", "the model is missing", "name a model of GET /v1/models")
	}
	if prompt, err = checkPrompt(format, prompt); err != nil {
		return nil, err
	}
	r.PromptBytes = poplarwinch.Bytes(len(prompt))
	r.Blocks = Blocks(r.Model, r.Adapter, prompt)
	r.SharedParts, r.UnidentifiedParts = sharedParts(format, prompt)
	r.Body = rewrite(fields, len(body), r.MaxTokens)
	return r, nil
}

// set sets the member of r for a field that the server interprets. All other fields are forwarded unchanged.
func (r *Request) set(f field) error {
	switch f.name {
	case "model":
		var name string
		if err := json.Unmarshal(f.value, &name); err != nil {
			return invalid("model", "the model is not a string", "name a model of GET /v1/models")
		}
		model, adapter, _ := strings.Cut(name, ":")
		r.Model, r.Adapter = poplarwinch.ModelName(model), poplarwinch.AdapterName(adapter)
	case "stream":
		if err := json.Unmarshal(f.value, &r.Stream); err != nil {
			return invalid("stream", "stream is not a boolean", "send true or false")
		}
	case "stream_options":
		var options streamOptions
		if err := json.Unmarshal(f.value, &options); err != nil {
			return invalid("stream_options", "stream_options is not an object", `send {"include_usage": true}`)
		}
		r.IncludeUsage = options.IncludeUsage
	case "max_tokens", "max_completion_tokens":
		if bytes.Equal(f.value, []byte("null")) {
			return nil
		}
		if err := json.Unmarshal(f.value, &r.MaxTokens); err != nil || r.MaxTokens < 1 {
			return invalid(f.name, f.name+" is not a positive integer", "send a whole number of at least 1")
		}
	case "n", "best_of":
		var n int
		if err := json.Unmarshal(f.value, &n); err != nil || n != 1 {
			return invalid(f.name, "only one choice for each request is supported", "omit "+f.name+" or send 1")
		}
	}
	return nil
}

// checkPrompt validates the prompt's JSON text and returns it, a string without its quotes.
func checkPrompt(format Format, value []byte) ([]byte, error) {
	name := format.promptField()
	if value == nil {
		return nil, invalid(name, name+" is missing", "send the prompt in "+name)
	}
	if format == FormatText {
		if value[0] != '"' {
			return nil, invalid(name, "prompt is not a string", "send one string; send several prompts as several requests")
		}
		return value[1 : len(value)-1], nil
	}
	if value[0] != '[' || len(bytes.TrimSpace(value[1:len(value)-1])) == 0 {
		return nil, invalid(name, "messages is not a list with at least one message", "send at least one message")
	}
	return value, nil
}

// rewrite returns the request body for the engine: it requests a stream with usage and has an explicit token limit.
func rewrite(fields []field, size int, maxTokens poplarwinch.Tokens) []byte {
	out := make([]byte, 0, size+128)
	out = append(out, `{"stream":true,"stream_options":{"include_usage":true}`...)
	hasLimit := false
	for _, f := range fields {
		if f.name == "stream" || f.name == "stream_options" {
			continue
		}
		if f.name == "max_tokens" || f.name == "max_completion_tokens" {
			if bytes.Equal(f.value, []byte("null")) {
				continue
			}
			hasLimit = true
		}
		name, _ := json.Marshal(f.name)
		out = append(out, ',')
		out = append(out, name...)
		out = append(out, ':')
		out = append(out, f.value...)
	}
	if !hasLimit {
		out = fmt.Appendf(out, `,"max_tokens":%d`, maxTokens)
	}
	return append(out, '}')
}

// invalid returns the error of an invalid request; param is the name of the field at fault, if any.
func invalid(param, message, remedy string) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun,
		Param: param, Message: message, Remedy: remedy,
	}
}

// describe returns the text of err, with the position if it is a syntax error.
func describe(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("%v at byte %d", err, syntax.Offset)
	}
	return err.Error()
}

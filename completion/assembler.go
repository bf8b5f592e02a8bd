package completion

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Assembler builds a non-streamed response from the chunks of a stream.
type Assembler struct {
	format Format
	// maxBytes is the largest total size of the chunks.
	maxBytes int
	// size is the total size of the added chunks in bytes.
	size int
	// head is the first chunk, whose metadata the response has.
	head    chunk
	started bool
	// choices are ordered by index.
	choices []*choice
	usage   json.RawMessage
}

// choice is the accumulated state of one choice.
type choice struct {
	index int
	// text is the text of a choice of FormatText.
	text strings.Builder
	// textFields are the string fields of a chat message, by name.
	textFields map[string]*strings.Builder
	role       string
	tools      []*toolCall
	// finishReason is nil until the choice is complete.
	finishReason *string
	logprobs     []json.RawMessage
}

// NewAssembler returns an assembler that accepts chunks of at most maxBytes in total.
func NewAssembler(format Format, maxBytes int) *Assembler {
	return &Assembler{format: format, maxBytes: maxBytes}
}

// Add adds the chunk with the given JSON text.
func (a *Assembler) Add(data []byte) error {
	if a.size += len(data); a.size > a.maxBytes {
		return fmt.Errorf("response exceeds %d bytes", a.maxBytes)
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode chunk: %w", err)
	}
	if !a.started {
		a.head, a.started = c, true
	}
	if len(c.Usage) > 0 && !bytes.Equal(c.Usage, []byte("null")) {
		a.usage = c.Usage
	}
	for i := range c.Choices {
		if err := a.choice(c.Choices[i].Index).add(&c.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

// choice returns the choice with the given index, adding it if necessary.
func (a *Assembler) choice(index int) *choice {
	for _, c := range a.choices {
		if c.index == index {
			return c
		}
	}
	c := &choice{index: index, textFields: map[string]*strings.Builder{}}
	a.choices = append(a.choices, c)
	slices.SortFunc(a.choices, func(x, y *choice) int { return x.index - y.index })
	return c
}

// add merges the part of the choice in one chunk.
func (c *choice) add(part *chunkChoice) error {
	c.text.WriteString(part.Text)
	if part.FinishReason != nil {
		c.finishReason = part.FinishReason
	}
	if len(part.Logprobs) > 0 && !bytes.Equal(part.Logprobs, []byte("null")) {
		c.logprobs = append(c.logprobs, part.Logprobs)
	}
	for name, value := range part.Delta {
		if err := c.addDelta(name, value); err != nil {
			return fmt.Errorf("delta field %q: %w", name, err)
		}
	}
	return nil
}

// addDelta merges one field of a chat delta; strings other than the role are concatenated.
func (c *choice) addDelta(name string, value json.RawMessage) error {
	if bytes.Equal(value, []byte("null")) {
		return nil
	}
	switch name {
	case "role":
		return json.Unmarshal(value, &c.role)
	case "tool_calls":
		return c.addToolCalls(value)
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return err
	}
	if c.textFields[name] == nil {
		c.textFields[name] = &strings.Builder{}
	}
	c.textFields[name].WriteString(text)
	return nil
}

// Response returns the JSON text of the response. It fails if there is no choice or one has no finish reason.
func (a *Assembler) Response() ([]byte, error) {
	if len(a.choices) == 0 {
		return nil, fmt.Errorf("the stream ended without a choice")
	}
	out := response{
		ID: a.head.ID, Object: "text_completion", Created: a.head.Created, Model: a.head.Model,
		SystemFingerprint: a.head.SystemFingerprint, ServiceTier: a.head.ServiceTier, Usage: a.usage,
	}
	if a.format == FormatChat {
		out.Object = "chat.completion"
	}
	for _, c := range a.choices {
		if c.finishReason == nil {
			return nil, fmt.Errorf("choice %d ended without a finish reason", c.index)
		}
		w, err := c.result(a.format)
		if err != nil {
			return nil, err
		}
		out.Choices = append(out.Choices, w)
	}
	return json.Marshal(out)
}

// response is the JSON form of a non-streamed response.
type response struct {
	ID                string           `json:"id"`
	Object            string           `json:"object"`
	Created           int64            `json:"created"`
	Model             string           `json:"model"`
	SystemFingerprint string           `json:"system_fingerprint,omitempty"`
	ServiceTier       string           `json:"service_tier,omitempty"`
	Choices           []responseChoice `json:"choices"`
	Usage             json.RawMessage  `json:"usage,omitempty"`
}

// responseChoice is the JSON form of a choice in a non-streamed response.
type responseChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      map[string]any  `json:"message,omitempty"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason string          `json:"finish_reason"`
}

// result returns the JSON form of a complete choice.
func (c *choice) result(format Format) (responseChoice, error) {
	w := responseChoice{Index: c.index, FinishReason: *c.finishReason}
	logprobs, err := mergeLogprobs(c.logprobs)
	if err != nil {
		return w, err
	}
	w.Logprobs = logprobs
	if format == FormatText {
		text := c.text.String()
		w.Text = &text
		return w, nil
	}
	w.Message = map[string]any{"role": c.role, "content": nil, "refusal": nil}
	if c.role == "" {
		w.Message["role"] = "assistant"
	}
	for name, text := range c.textFields {
		w.Message[name] = text.String()
	}
	if len(c.tools) > 0 {
		w.Message["tool_calls"] = c.tools
	}
	return w, nil
}

package completion

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Assembler builds a whole answer from the chunks of a stream.
type Assembler struct {
	format  Format
	limit   int
	size    int
	head    chunk
	started bool
	choices []*choice
	usage   json.RawMessage
}

type choice struct {
	index    int
	text     strings.Builder
	parts    map[string]*strings.Builder
	role     string
	tools    []*toolCall
	finish   *string
	logprobs []json.RawMessage
}

// NewAssembler returns an assembler for answers of at most limit bytes.
func NewAssembler(format Format, limit int) *Assembler {
	return &Assembler{format: format, limit: limit}
}

// Add appends the chunk in data.
func (a *Assembler) Add(data []byte) error {
	if a.size += len(data); a.size > a.limit {
		return fmt.Errorf("the answer exceeds %d bytes", a.limit)
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("chunk can't be read: %w", err)
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

func (a *Assembler) choice(index int) *choice {
	for _, c := range a.choices {
		if c.index == index {
			return c
		}
	}
	c := &choice{index: index, parts: map[string]*strings.Builder{}}
	a.choices = append(a.choices, c)
	slices.SortFunc(a.choices, func(x, y *choice) int { return x.index - y.index })
	return c
}

func (c *choice) add(part *chunkChoice) error {
	c.text.WriteString(part.Text)
	if part.FinishReason != nil {
		c.finish = part.FinishReason
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
	if c.parts[name] == nil {
		c.parts[name] = &strings.Builder{}
	}
	c.parts[name].WriteString(text)
	return nil
}

// Whole returns the answer's JSON text. It fails when a choice did not reach its end.
func (a *Assembler) Whole() ([]byte, error) {
	if len(a.choices) == 0 {
		return nil, fmt.Errorf("the stream ended without a choice")
	}
	out := wholeAnswer{
		ID: a.head.ID, Object: "text_completion", Created: a.head.Created, Model: a.head.Model,
		SystemFingerprint: a.head.SystemFingerprint, ServiceTier: a.head.ServiceTier, Usage: a.usage,
	}
	if a.format == FormatChat {
		out.Object = "chat.completion"
	}
	for _, c := range a.choices {
		if c.finish == nil {
			return nil, fmt.Errorf("choice %d ended without a finish reason", c.index)
		}
		w, err := c.whole(a.format)
		if err != nil {
			return nil, err
		}
		out.Choices = append(out.Choices, w)
	}
	return json.Marshal(out)
}

type wholeAnswer struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	ServiceTier       string          `json:"service_tier,omitempty"`
	Choices           []wholeChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      map[string]any  `json:"message,omitempty"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason string          `json:"finish_reason"`
}

func (c *choice) whole(format Format) (wholeChoice, error) {
	w := wholeChoice{Index: c.index, FinishReason: *c.finish}
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
	for name, text := range c.parts {
		w.Message[name] = text.String()
	}
	if len(c.tools) > 0 {
		w.Message["tool_calls"] = c.tools
	}
	return w, nil
}

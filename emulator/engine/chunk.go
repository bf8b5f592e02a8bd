package engine

import (
	"encoding/json"
	"strings"
)

// chunk is an event of a stream, or a whole answer, in the OpenAI format.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Logprobs     *string  `json:"logprobs"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens        int            `json:"prompt_tokens"`
	CompletionTokens    int            `json:"completion_tokens"`
	TotalTokens         int            `json:"total_tokens"`
	PromptTokensDetails *promptDetails `json:"prompt_tokens_details,omitempty"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// tokenFrames is the number of frames up to the given number of tokens; a chat begins with a frame for the role.
func (p *prompt) tokenFrames(tokens int) int {
	if p.chat && tokens > 0 {
		return tokens + 1
	}
	return tokens
}

// closingFrames is the number of frames after the tokens: finish reason, usage if asked for, [DONE].
func (p *prompt) closingFrames() int {
	if p.usage {
		return 3
	}
	return 2
}

// frame returns the data of frame n, from 1, of an answer that does not fail.
func (p *prompt) frame(n, cached int) []byte {
	token := n - 1
	if p.chat {
		token--
	}
	c := p.chunk(p.object(true))
	switch over := token - p.maxTokens; {
	case token < 0:
		empty := ""
		c.Choices = []choice{{Delta: &message{Role: "assistant", Content: &empty}}}
	case over < 0:
		c.Choices = []choice{p.delta(p.generator.Piece(token))}
	case over == 0:
		reason := "length"
		last := p.delta("")
		if p.chat {
			last.Delta = &message{}
		}
		last.FinishReason = &reason
		c.Choices = []choice{last}
	case over == 1 && p.usage:
		c.Choices, c.Usage = []choice{}, p.usageReport(cached)
	default:
		return []byte("[DONE]")
	}
	return encode(c)
}

// whole returns the answer as one JSON object.
func (p *prompt) whole(cached int) []byte {
	var b strings.Builder
	for i := range p.maxTokens {
		b.WriteString(p.generator.Piece(i))
	}
	text := b.String()
	reason := "length"
	ch := choice{FinishReason: &reason}
	if p.chat {
		ch.Message = &message{Role: "assistant", Content: &text}
	} else {
		ch.Text = &text
	}
	c := p.chunk(p.object(false))
	c.Choices, c.Usage = []choice{ch}, p.usageReport(cached)
	return encode(c)
}

func (p *prompt) delta(piece string) choice {
	if p.chat {
		return choice{Delta: &message{Content: &piece}}
	}
	return choice{Text: &piece}
}

func (p *prompt) chunk(object string) chunk {
	model, prefix := p.model, "cmpl-"
	if p.adapter != "" {
		model += ":" + p.adapter
	}
	if p.chat {
		prefix = "chatcmpl-"
	}
	return chunk{ID: prefix + p.id, Object: object, Created: p.created, Model: model}
}

func (p *prompt) object(stream bool) string {
	switch {
	case p.chat && stream:
		return "chat.completion.chunk"
	case p.chat:
		return "chat.completion"
	}
	return "text_completion"
}

func (p *prompt) usageReport(cached int) *usage {
	return &usage{
		PromptTokens: p.size, CompletionTokens: p.maxTokens, TotalTokens: p.size + p.maxTokens,
		PromptTokensDetails: &promptDetails{CachedTokens: cached},
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: the types above have no values that JSON cannot represent
	}
	return data
}

package engine

import (
	"encoding/json"
	"strings"
)

// completionObject is a streamed event or a complete response in the OpenAI format.
type completionObject struct {
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

// framesForTokens returns the number of frames for the given number of tokens. A chat stream begins with a frame for
// the role.
func (p *prompt) framesForTokens(tokens int) int {
	if p.chat && tokens > 0 {
		return tokens + 1
	}
	return tokens
}

// closingFrames returns the number of frames after the tokens: finish reason, usage if requested, [DONE].
func (p *prompt) closingFrames() int {
	if p.includeUsage {
		return 3
	}
	return 2
}

// frame returns the data of frame n, counted from 1, of a stream that does not fail.
func (p *prompt) frame(n, cachedTokens int) []byte {
	token := n - 1
	if p.chat {
		token--
	}
	c := p.completionObject(p.objectType(true))
	switch excess := token - p.maxTokens; {
	case token < 0:
		empty := ""
		c.Choices = []choice{{Delta: &message{Role: "assistant", Content: &empty}}}
	case excess < 0:
		c.Choices = []choice{p.choiceWith(p.generator.Piece(token))}
	case excess == 0:
		reason := "length"
		last := p.choiceWith("")
		if p.chat {
			last.Delta = &message{}
		}
		last.FinishReason = &reason
		c.Choices = []choice{last}
	case excess == 1 && p.includeUsage:
		c.Choices, c.Usage = []choice{}, p.usageReport(cachedTokens)
	default:
		return []byte("[DONE]")
	}
	return mustMarshal(c)
}

// response returns the complete response as one JSON object.
func (p *prompt) response(cachedTokens int) []byte {
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
	c := p.completionObject(p.objectType(false))
	c.Choices, c.Usage = []choice{ch}, p.usageReport(cachedTokens)
	return mustMarshal(c)
}

func (p *prompt) choiceWith(piece string) choice {
	if p.chat {
		return choice{Delta: &message{Content: &piece}}
	}
	return choice{Text: &piece}
}

func (p *prompt) completionObject(object string) completionObject {
	model, prefix := p.model, "cmpl-"
	if p.adapter != "" {
		model += ":" + p.adapter
	}
	if p.chat {
		prefix = "chatcmpl-"
	}
	return completionObject{ID: prefix + p.id, Object: object, Created: p.created, Model: model}
}

func (p *prompt) objectType(stream bool) string {
	switch {
	case p.chat && stream:
		return "chat.completion.chunk"
	case p.chat:
		return "chat.completion"
	}
	return "text_completion"
}

func (p *prompt) usageReport(cachedTokens int) *usage {
	return &usage{
		PromptTokens: p.tokens, CompletionTokens: p.maxTokens, TotalTokens: p.tokens + p.maxTokens,
		PromptTokensDetails: &promptDetails{CachedTokens: cachedTokens},
	}
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: all encoded types can be represented in JSON
	}
	return data
}

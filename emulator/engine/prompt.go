package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/poplarwinch/poplarwinch/emulator/answer"
)

// prompt is a parsed completion or chat request.
type prompt struct {
	id           string // stream id, the prefix of the event ids
	chat         bool
	model        string
	adapter      string
	text         string
	rawJSON      string // JSON text of the prompt, which is split into prefix cache blocks
	digest       string // xxhash64 of text as 16 hexadecimal digits
	maxTokens    int
	stream       bool
	includeUsage bool
	created      int64 // Unix seconds
	tokens       int   // length of the prompt in tokens
	generator    answer.Generator
}

// defaultMaxTokens is the number of tokens generated for a request without max_tokens and max_completion_tokens.
const defaultMaxTokens = 16

// promptRequest has the fields of the OpenAI request formats that the emulator reads.
type promptRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func parsePrompt(data []byte, chat bool) (*prompt, error) {
	var r promptRequest
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	p := &prompt{chat: chat, maxTokens: defaultMaxTokens, stream: r.Stream, includeUsage: r.StreamOptions.IncludeUsage}
	p.model, p.adapter, _ = strings.Cut(r.Model, ":")
	if r.N != nil && *r.N != 1 {
		return nil, errors.New("n must be 1")
	}
	if r.MaxTokens != nil {
		p.maxTokens = *r.MaxTokens
	}
	if r.MaxCompletionTokens != nil {
		p.maxTokens = *r.MaxCompletionTokens
	}
	if p.maxTokens < 1 {
		return nil, errors.New("max_tokens must be at least 1")
	}
	var err error
	if chat {
		p.rawJSON = string(r.Messages)
		p.text, err = chatText(r.Messages)
	} else {
		p.rawJSON = strings.Trim(string(r.Prompt), `"`)
		err = json.Unmarshal(r.Prompt, &p.text)
	}
	if err != nil {
		return nil, fmt.Errorf("prompt: %w", err)
	}
	p.generator = answer.NewGenerator(p.text)
	return p, nil
}

func chatText(raw json.RawMessage) (string, error) {
	var messages []chatMessage
	if err := json.Unmarshal(raw, &messages); err != nil {
		return "", err
	}
	if len(messages) == 0 {
		return "", errors.New("messages are missing")
	}
	texts := make([]answer.Message, len(messages))
	for i, m := range messages {
		texts[i].Role = m.Role
		if json.Unmarshal(m.Content, &texts[i].Content) == nil {
			continue
		}
		var parts []contentPart
		if err := json.Unmarshal(m.Content, &parts); err != nil {
			return "", err
		}
		for _, p := range parts {
			texts[i].Content += p.Text
		}
	}
	return answer.Prompt(texts), nil
}

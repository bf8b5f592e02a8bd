package completion

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/poplarwinch/poplarwinch"
)

// Usage is the token usage of a request.
type Usage struct {
	PromptTokens     poplarwinch.Tokens `json:"prompt_tokens"`
	CompletionTokens poplarwinch.Tokens `json:"completion_tokens"`
	TotalTokens      poplarwinch.Tokens `json:"total_tokens"`
}

// chunk is one data event of a streamed response, or an error event.
type chunk struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	ServiceTier       string          `json:"service_tier,omitempty"`
	Choices           []chunkChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
	Error             json.RawMessage `json:"error,omitempty"`
}

// chunkChoice is the part of a choice in one chunk.
type chunkChoice struct {
	Index        int                        `json:"index"`
	Text         string                     `json:"text"`
	Delta        map[string]json.RawMessage `json:"delta"`
	FinishReason *string                    `json:"finish_reason"`
	Logprobs     json.RawMessage            `json:"logprobs"`
}

// UsageOf returns the usage in a chunk without choices, which engines send at the end of a stream. It reports false for
// other chunks.
func UsageOf(data []byte) (Usage, bool) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return Usage{}, false
	}
	var c chunk
	var usage Usage
	if json.Unmarshal(data, &c) != nil || len(c.Choices) != 0 || json.Unmarshal(c.Usage, &usage) != nil {
		return Usage{}, false
	}
	return usage, usage.TotalTokens > 0
}

// EngineError returns the message of an error event, which an engine sends to end a stream that it can't complete. It
// reports false for other chunks.
func EngineError(data []byte) (string, bool) {
	if !bytes.HasPrefix(data, []byte(`{"error"`)) {
		return "", false
	}
	var c chunk
	if json.Unmarshal(data, &c) != nil || len(c.Error) == 0 {
		return "", false
	}
	var detail struct {
		Message string `json:"message"`
	}
	if err := json.Unmarshal(c.Error, &detail); err != nil {
		return fmt.Sprintf("unreadable error event: %v", err), true
	}
	return detail.Message, true
}

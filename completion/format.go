// Package completion reads and rewrites OpenAI-style completion requests and assembles streamed answers.
package completion

// Format is the shape of a completion request and of its answer.
type Format string

const (
	// FormatChat is the format of /v1/chat/completions.
	FormatChat Format = "chat"
	// FormatText is the format of /v1/completions.
	FormatText Format = "text"
)

// Path returns the URL path that serves f.
func (f Format) Path() string {
	if f == FormatChat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// promptField returns the name of the field that holds the prompt.
func (f Format) promptField() string {
	if f == FormatChat {
		return "messages"
	}
	return "prompt"
}

// Package completion parses and rewrites OpenAI-style completion requests and assembles streamed responses.
package completion

// Format is the API format of a completion request and its response.
type Format string

const (
	// FormatChat is the format of /v1/chat/completions.
	FormatChat Format = "chat"
	// FormatText is the format of /v1/completions.
	FormatText Format = "text"
)

// Path returns the URL path of the format's endpoint.
func (f Format) Path() string {
	if f == FormatChat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// promptField returns the name of the request field with the prompt.
func (f Format) promptField() string {
	if f == FormatChat {
		return "messages"
	}
	return "prompt"
}

package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// errorBody is the body of error responses, in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string              `json:"message"`
	Type    poplarwinch.Kind    `json:"type"`
	Code    poplarwinch.Kind    `json:"code"`
	Param   *string             `json:"param"`
	Outcome poplarwinch.Outcome `json:"outcome"`
	Remedy  string              `json:"remedy,omitempty"`
}

// encodeError returns the error body for e. It leaves out the underlying cause, which only the log shows.
func encodeError(e *poplarwinch.Error) []byte {
	detail := errorDetail{
		Message: e.Message, Type: e.Kind, Code: e.Kind, Outcome: e.Outcome, Remedy: e.Remedy,
	}
	if e.Remedy != "" {
		detail.Message += "; " + e.Remedy
	}
	if e.Param != "" {
		detail.Param = &e.Param
	}
	body, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		return []byte(`{"error":{"message":"the error can't be encoded","type":"internal","code":"internal","outcome":"failed"}}`)
	}
	return body
}

// writeError sends e as a complete error response.
func writeError(w http.ResponseWriter, e *poplarwinch.Error) {
	body := encodeError(e)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Outcome", string(e.Outcome))
	// OpenAI clients retry some status codes by themselves. Only prompts and requests that did not run may be retried.
	if e.Outcome == poplarwinch.OutcomeUnknown {
		h.Set("X-Should-Retry", "false")
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((e.RetryAfter+clock.Second-1)/clock.Second), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(int64(e.RetryAfter), 10))
	}
	w.WriteHeader(e.Kind.Status())
	_, _ = w.Write(body)
}

package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// problem is the error body that callers receive, in the shape that OpenAI clients read.
type problem struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	Message string              `json:"message"`
	Type    poplarwinch.Kind    `json:"type"`
	Code    poplarwinch.Kind    `json:"code"`
	Param   *string             `json:"param"`
	Outcome poplarwinch.Outcome `json:"outcome"`
	Remedy  string              `json:"remedy,omitempty"`
}

// encodeProblem returns the error body for e. The underlying cause stays in the log.
func encodeProblem(e *poplarwinch.Error) []byte {
	detail := problemDetail{
		Message: e.Message, Type: e.Kind, Code: e.Kind, Outcome: e.Outcome, Remedy: e.Remedy,
	}
	if e.Remedy != "" {
		detail.Message += "; " + e.Remedy
	}
	if e.Param != "" {
		detail.Param = &e.Param
	}
	body, err := json.Marshal(problem{Error: detail})
	if err != nil {
		return []byte(`{"error":{"message":"the error can't be encoded","type":"internal","code":"internal","outcome":"failed"}}`)
	}
	return body
}

// writeProblem sends e as a complete error response.
func writeProblem(w http.ResponseWriter, e *poplarwinch.Error) {
	body := encodeProblem(e)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Outcome", string(e.Outcome))
	// OpenAI clients repeat some status codes on their own; only a request that did not run, or a prompt, may be repeated.
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

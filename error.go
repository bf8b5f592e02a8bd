package poplarwinch

import (
	"errors"
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Kind classifies an error for callers and operators.
type Kind string

// The kinds of errors.
const (
	KindInvalidRequest   Kind = "invalid-request"
	KindUnauthorized     Kind = "unauthorized"
	KindForbidden        Kind = "forbidden"
	KindUnknownModel     Kind = "unknown-model"
	KindUnknownAdapter   Kind = "unknown-adapter"
	KindUnknownService   Kind = "unknown-service"
	KindUnknownStream    Kind = "unknown-stream"
	KindNotFound         Kind = "not-found"
	KindMethodNotAllowed Kind = "method-not-allowed"
	KindConflict         Kind = "conflict"
	KindInProgress       Kind = "in-progress"
	KindGone             Kind = "gone"
	KindTooLarge         Kind = "too-large"
	KindQuarantined      Kind = "quarantined"
	KindOverQuota        Kind = "over-quota"
	KindOverloaded       Kind = "overloaded"
	KindUnavailable      Kind = "unavailable"
	KindCallerGone       Kind = "caller-gone"
	KindUpstreamFailed   Kind = "upstream-failed"
	KindDeadlineExceeded Kind = "deadline-exceeded"
	KindInternal         Kind = "internal"
)

var statusByKind = map[Kind]int{
	KindInvalidRequest:   http.StatusBadRequest,
	KindUnauthorized:     http.StatusUnauthorized,
	KindForbidden:        http.StatusForbidden,
	KindUnknownModel:     http.StatusNotFound,
	KindUnknownAdapter:   http.StatusNotFound,
	KindUnknownService:   http.StatusNotFound,
	KindUnknownStream:    http.StatusNotFound,
	KindNotFound:         http.StatusNotFound,
	KindMethodNotAllowed: http.StatusMethodNotAllowed,
	KindConflict:         http.StatusConflict,
	KindInProgress:       http.StatusConflict,
	KindGone:             http.StatusGone,
	KindTooLarge:         http.StatusRequestEntityTooLarge,
	KindQuarantined:      http.StatusUnprocessableEntity,
	KindOverQuota:        http.StatusTooManyRequests,
	KindOverloaded:       http.StatusServiceUnavailable,
	KindUnavailable:      http.StatusServiceUnavailable,
	KindCallerGone:       499, // "client closed request" of nginx; HTTP defines no such code
	KindUpstreamFailed:   http.StatusBadGateway,
	KindDeadlineExceeded: http.StatusGatewayTimeout,
	KindInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status code of errors of kind k.
func (k Kind) Status() int {
	if status, ok := statusByKind[k]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Error is an error that callers or operators receive.
type Error struct {
	Kind    Kind
	Outcome Outcome
	// Message says what went wrong.
	Message string
	// Remedy says what the caller or operator can do about it.
	Remedy string
	// Param is the name of the invalid field or header, if there is one.
	Param string
	// RetryAfter is the time after which a retry may succeed; zero means that it is not known.
	RetryAfter clock.Millis
	// Cause is the underlying error. It is logged but not sent to callers.
	Cause error
}

// Error returns the kind, the message, the remedy and the cause, for logs.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// AsError returns the *Error in the chain of err. It wraps any other error as an internal one with the given outcome.
func AsError(err error, outcome Outcome) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind: KindInternal, Outcome: outcome, Cause: err,
		Message: "unexpected internal error",
		Remedy:  "report the request id to the operators",
	}
}

package dispatch

import (
	"io"
	"net/http"
	"strings"

	"github.com/poplarwinch/poplarwinch/fleet"
)

// Answer is the response of a server. The receiver closes Body.
type Answer struct {
	Status int
	// Notice is what the server says of itself.
	Notice fleet.Notice
	Header http.Header
	// Length is the size of Body in bytes, or -1 if unknown.
	Length int64
	// EndsWithConnection says that only the end of the connection ends Body, so that a server that crashes may seem to have completed it.
	EndsWithConnection bool
	Body               io.ReadCloser
}

// isEventStream reports whether the response to a streaming request is an event stream: it says so, or has no type.
func (a *Answer) isEventStream() bool {
	kind := a.Header.Get("Content-Type")
	return kind == "" || strings.HasPrefix(kind, "text/event-stream")
}

// Reply writes the response to the caller.
type Reply struct {
	// Begin sends the status and the headers. It is called at most once.
	Begin func(a *Answer)
	// Write sends data as part of the body, without buffering it.
	Write func(data []byte) error
}

package dispatch

import (
	"io"
	"net/http"
)

// Answer is a server's response. The receiver closes Body.
type Answer struct {
	Status int
	Header http.Header
	// Length is the number of bytes of Body, or -1 if it is not known.
	Length int64
	Body   io.ReadCloser
}

// Reply writes the answer to the caller.
type Reply struct {
	// Begin sends the status and the headers; it is called once at most.
	Begin func(a *Answer)
	// Write sends a part of the body at once.
	Write func(data []byte) error
}

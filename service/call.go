package service

import "net/http"

// Call is a request to a plain service.
type Call struct {
	Method string
	// Path is the escaped path with the query string, for example "/bookings?day=1".
	Path string
	// Header contains the headers; hop-by-hop headers are not sent.
	Header http.Header
	Body   []byte
	// Reserve takes memory for n more bytes of the answer, or reports false if there is none. It may be nil.
	Reserve func(n int64) bool
}

package service

import "net/http"

// Call is a request to a plain service.
type Call struct {
	Method string
	// Path is the escaped path with the query, for example "/bookings?day=1".
	Path string
	// Header holds the end-to-end headers; hop-by-hop headers are removed.
	Header http.Header
	Body   []byte
	// Repeatable permits a pooled connection. Calls that must run at most once leave it unset.
	Repeatable bool
}

package service

import "net/http"

// Answer is the complete answer to a call.
type Answer struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
}

package service

import "net/http"

// Answer is the complete response to a call.
type Answer struct {
	Status int
	// Header contains the end-to-end headers.
	Header http.Header
	Body   []byte
}

package claim

import "net/http"

// Answer is the complete response of an upstream to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

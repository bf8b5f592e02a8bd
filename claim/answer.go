package claim

import "net/http"

// Answer is the whole answer of an upstream to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

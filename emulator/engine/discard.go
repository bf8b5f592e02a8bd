package engine

import "net/http"

// discard is a response that is never sent.
type discard struct{}

func (discard) Header() http.Header { return http.Header{} }

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func (discard) WriteHeader(int) {}

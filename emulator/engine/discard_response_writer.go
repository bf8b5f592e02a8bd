package engine

import "net/http"

// discardResponseWriter is an http.ResponseWriter that discards the response.
type discardResponseWriter struct{}

func (discardResponseWriter) Header() http.Header { return http.Header{} }

func (discardResponseWriter) Write(p []byte) (int, error) { return len(p), nil }

func (discardResponseWriter) WriteHeader(int) {}

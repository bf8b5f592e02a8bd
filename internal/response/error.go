package response

import "fmt"

// MalformedError means that the head of a response is not allowed by HTTP/1.1, or that no request asked for it. The server may have executed
// the request.
type MalformedError struct {
	// Server is the address of the server.
	Server  string
	Problem error
}

// Error returns the server and the problem.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response from %s: %v", e.Server, e.Problem)
}

// Unwrap returns the problem.
func (e *MalformedError) Unwrap() error { return e.Problem }

// ResetError means that a connection was reset although it seemed to end in order, so that a response that ends with it is not complete.
type ResetError struct {
	// Server is the address of the server.
	Server string
	// Cause is the error of writing the request.
	Cause error
}

// Error returns the server and the cause.
func (e *ResetError) Error() string {
	return fmt.Sprintf("connection to %s was reset before the end of the response: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }

package service

import "fmt"

// RefusedError means that the server rejected the call without running it: status 503 with the header Refused: true.
type RefusedError struct {
	Address string
	// Message is the beginning of the response body.
	Message string
}

// Error returns the address and the server's message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("server %s rejected the call before running it: %s", e.Address, e.Message)
}

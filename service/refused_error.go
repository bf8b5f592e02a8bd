package service

import "fmt"

// RefusedError says that the server rejected the call before running it (status 503 with Refused: true).
type RefusedError struct {
	Address string
	Message string
}

// Error describes the rejection.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("server %s rejected the call before running it: %s", e.Address, e.Message)
}

package engine

import "fmt"

// RefusedError means that the engine rejected a request before running it.
type RefusedError struct {
	Address string
	// Status is the HTTP status: 503, or 507 for insufficient KV memory.
	Status  int
	Message string
}

// Error returns the address, the status and the engine's message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine %s rejected the request before running it (status %d): %s", e.Address, e.Status, e.Message)
}

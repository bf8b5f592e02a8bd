package engine

import "fmt"

// RefusedError says that the engine rejected a request before running it.
type RefusedError struct {
	Address string
	// Status is 503, or 507 for a lack of KV memory.
	Status  int
	Message string
}

// Error describes the rejection.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine %s rejected the request before running it (status %d): %s", e.Address, e.Status, e.Message)
}

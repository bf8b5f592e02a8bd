package configuration

import "context"

// Table reaches the table service.
type Table struct {
	// Get reads a row consistently.
	Get func(ctx context.Context, key string) (Row, bool, error)
	// Put writes a row if the condition holds.
	Put func(ctx context.Context, row Row, condition Condition) error
}

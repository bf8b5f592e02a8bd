package configuration

import "context"

// Table holds the functions that access the table service.
type Table struct {
	// Get returns a row by a consistent read and reports whether it exists.
	Get func(ctx context.Context, key string) (Row, bool, error)
	// Put writes a row if the condition holds.
	Put func(ctx context.Context, row Row, condition Condition) error
}

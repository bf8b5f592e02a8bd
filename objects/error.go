package objects

import (
	"errors"
	"fmt"
)

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("the object does not exist; check its key")

// ErrExists means that PutNew had no effect, because the object already exists.
var ErrExists = errors.New("the object already exists; read it or select another key")

// UncertainError means that a write may have taken effect or may still take effect.
type UncertainError struct {
	Key   string
	Cause error
}

// Error returns the message with the key and the cause.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("write of object %q may have taken effect; retry it and accept that the object exists: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// UnavailableError means that a read failed, or that a write failed and had no effect.
type UnavailableError struct {
	Key   string
	Cause error
}

// Error returns the message with the key and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object store call for %q failed and had no effect; retry it later: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

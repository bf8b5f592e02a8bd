// Package configuration keeps the active manifest of an instance: commits, activation and propagation.
package configuration

import "errors"

// Row is the table row that holds the record of the current manifest.
type Row struct {
	Key     string
	Body    []byte
	Version uint64
}

// Condition says what must hold for a put to take effect.
type Condition struct {
	// Absent requires that the row doesn't exist.
	Absent bool
	// Version is the version that the row must have if Absent is false.
	Version uint64
}

// Errors that the function fields return. A put may have taken effect, now or later, unless its error is
// ErrConditionFailed or ErrNotWritten.
var (
	// ErrConditionFailed means that a put had no effect because its condition did not hold.
	ErrConditionFailed = errors.New("condition failed")
	// ErrNotWritten means that a put certainly had no effect and never will.
	ErrNotWritten = errors.New("not written")
	// ErrExists means that the object is already stored.
	ErrExists = errors.New("object exists")
	// ErrNotFound means that the source doesn't have the object or the record.
	ErrNotFound = errors.New("not found")
)

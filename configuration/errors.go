package configuration

import "errors"

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

package configuration

import "errors"

// Errors that the functions in Table, Objects and Peers return. After any other error of Table.Put the row may have been
// written, or may still be written later.
var (
	// ErrConditionFailed means that a put had no effect because its condition did not hold.
	ErrConditionFailed = errors.New("the condition of the put does not hold")
	// ErrNotWritten means that a put certainly had no effect and never will.
	ErrNotWritten = errors.New("the row was not written")
	// ErrExists means that an object is already stored under the key.
	ErrExists = errors.New("the object already exists")
	// ErrNotFound means that the object store or the peers don't have the object or the record.
	ErrNotFound = errors.New("object or manifest record not found")
)

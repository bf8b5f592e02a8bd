package main

import (
	"errors"
	"fmt"
	"io"
)

// Exit codes, as listed by arguments.Epilogue.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// failure is an error that ends a command, with the exit code and what the user can do about it.
type failure struct {
	code    int
	message string
	remedy  string
}

// Error returns the message and the remedy.
func (f *failure) Error() string { return f.message + "; " + f.remedy }

// newFailure returns a failure with exit code exitFailed.
func newFailure(remedy, format string, values ...any) error {
	return &failure{code: exitFailed, message: fmt.Sprintf(format, values...), remedy: remedy}
}

// report writes err, if any, to stderr and returns the exit code for it.
func report(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "error: %v\n", err)
	var f *failure
	if errors.As(err, &f) {
		return f.code
	}
	return exitFailed
}

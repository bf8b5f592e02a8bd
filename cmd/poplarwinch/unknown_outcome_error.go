package main

import "fmt"

// unknownOutcomeError is a failure of a request that the instance may have executed.
type unknownOutcomeError struct{ failure }

func newUnknownOutcomeError(format string, values ...any) error {
	return &unknownOutcomeError{failure{
		code: exitFailed, message: fmt.Sprintf(format, values...), remedy: "check the address or use another instance",
	}}
}

// Unwrap returns the failure, so that report finds its exit code.
func (e *unknownOutcomeError) Unwrap() error { return &e.failure }

package main

import "fmt"

// unsettledError is a failure after which the instance may have done what it was asked for.
type unsettledError struct{ failure }

func unsettled(format string, values ...any) error {
	return &unsettledError{failure{
		code: exitFailed, message: fmt.Sprintf(format, values...), remedy: "check the address or use another instance",
	}}
}

// Unwrap makes the failure visible to report.
func (e *unsettledError) Unwrap() error { return &e.failure }

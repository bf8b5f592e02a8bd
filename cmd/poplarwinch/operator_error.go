package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/poplarwinch/poplarwinch"
)

// operatorError is the error object in a response of the operator interface.
type operatorError struct {
	Type    poplarwinch.Kind    `json:"type"`
	Message string              `json:"message"`
	Remedy  string              `json:"remedy"`
	Outcome poplarwinch.Outcome `json:"outcome"`
}

// responseError returns the error for a response with a status other than 200.
func responseError(status int, data []byte) error {
	var body struct {
		Error operatorError `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error.Type == "" {
		f := failure{
			code: exitFailed, message: fmt.Sprintf("the instance answered with status %d", status),
			remedy: "check that the address is that of the operator interface",
		}
		if status >= http.StatusInternalServerError {
			return &unknownOutcomeError{f}
		}
		return &f
	}
	e := body.Error
	f := failure{code: exitFailed, message: string(e.Type) + ": " + e.Message, remedy: e.Remedy}
	if e.Outcome != "" {
		f.message += " (outcome: " + string(e.Outcome) + ")"
	}
	if e.Type == poplarwinch.KindConflict {
		f.code = exitConflict
	} else if e.Outcome != poplarwinch.OutcomeNotRun {
		return &unknownOutcomeError{f}
	}
	return &f
}

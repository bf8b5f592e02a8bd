package table

import (
	"encoding/json"
	"net/http"

	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// apiError is an error response of the protocol.
type apiError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

type cancellationReason struct {
	Code string `json:"Code"`
}

func newAPIError(name, message string) *apiError {
	return &apiError{Type: "com.amazonaws.dynamodb.v20120810#" + name, Message: message}
}

func validationError(message string) *apiError { return newAPIError("ValidationException", message) }

func conditionFailedError() *apiError {
	return newAPIError("ConditionalCheckFailedException", "The conditional request failed")
}

func (e *apiError) response() fault.Response { return jsonResponse(http.StatusBadRequest, e) }

func jsonResponse(status int, v any) fault.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return fault.Response{Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	return fault.Response{Status: status, Body: body, Header: map[string]string{"Content-Type": "application/x-amz-json-1.0"}}
}

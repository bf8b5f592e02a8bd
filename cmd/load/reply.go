package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
)

// replyLimit is the number of bytes that are read of one reply, so that a faulty server cannot exhaust memory.
const replyLimit = 4 << 20

// errorEnvelope is the body of an error reply of an entry instance.
type errorEnvelope struct {
	Error *struct {
		Type    string `json:"type"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// errorReply classifies a reply with an error status.
func errorReply(response *http.Response) result {
	data, err := io.ReadAll(io.LimitReader(response.Body, replyLimit))
	if err != nil {
		return transportFailure(err)
	}
	if r, ok := errorBody(data); ok {
		return r
	}
	return result{status: statusFailed, kind: fmt.Sprintf("status-%d", response.StatusCode)}
}

// errorBody classifies the body of an error reply; ok is false if data is not one.
func errorBody(data []byte) (r result, ok bool) {
	var e errorEnvelope
	if json.Unmarshal(data, &e) != nil || e.Error == nil {
		return result{}, false
	}
	r = result{status: statusFailed, kind: e.Error.Type}
	if e.Error.Outcome == "not-run" {
		r.status = statusRejected
	}
	return r, true
}

// transportFailure classifies a connection error.
func transportFailure(err error) result {
	kind := "connection-broken"
	if errors.Is(err, syscall.ECONNREFUSED) {
		kind = "connection-refused"
	}
	return result{status: statusFailed, kind: kind}
}

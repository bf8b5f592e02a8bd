package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/poplarwinch/poplarwinch"
)

const (
	// operatorTimeout is longer than the 20 s within which an instance settles a commit.
	operatorTimeout = 30 * time.Second
	maxAnswerBytes  = 32 << 20
)

// operator is the access to the operator interface of an instance, given on the command line.
type operator struct {
	Operator  string `arg:"required" placeholder:"ADDRESS" help:"operator address of an instance: IP:port or URL"`
	TokenFile string `arg:"--token-file" placeholder:"FILE" help:"file with the token for the operator interface"`
}

// operatorError is the error body of the operator interface.
type operatorError struct {
	Type    poplarwinch.Kind    `json:"type"`
	Message string              `json:"message"`
	Remedy  string              `json:"remedy"`
	Outcome poplarwinch.Outcome `json:"outcome"`
}

// unsettledError is a failure after which the instance may have done what it was asked for.
type unsettledError struct{ failure }

// request sends one request and returns the body of a successful answer.
func (o *operator) request(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	token, err := readToken(o.TokenFile)
	if err != nil {
		return nil, err
	}
	base := o.Operator
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, failed("write IP:port or a URL", "the operator address %q is not accepted", o.Operator)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	// Instances are reached directly: a proxy from the environment or a redirect would carry the token elsewhere.
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, unsettled("the instance at %s does not answer: %v", o.Operator, err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil || len(data) > maxAnswerBytes {
		return nil, unsettled("the answer of the instance at %s is incomplete", o.Operator)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, refusal(answer.StatusCode, data)
	}
	return data, nil
}

func unsettled(format string, values ...any) error {
	return &unsettledError{failure{
		code: exitFailed, message: fmt.Sprintf(format, values...), remedy: "check the address or use another instance",
	}}
}

// Unwrap makes the failure visible to report.
func (e *unsettledError) Unwrap() error { return &e.failure }

// refusal returns the error for an answer other than 200.
func refusal(status int, data []byte) error {
	var body struct {
		Error operatorError `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error.Type == "" {
		f := failure{
			code: exitFailed, message: fmt.Sprintf("the instance answered with status %d", status),
			remedy: "check that the address is that of the operator interface",
		}
		if status >= http.StatusInternalServerError {
			return &unsettledError{f}
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
		return &unsettledError{f}
	}
	return &f
}

package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
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

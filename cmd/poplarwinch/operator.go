package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/poplarwinch/poplarwinch/internal/response"
)

const (
	// operatorTimeout is the timeout of one request. It exceeds the 20 s within which an instance decides a commit.
	operatorTimeout = 30 * time.Second
	// maxResponseBytes is the maximum size of a response body; longer ones are an error.
	maxResponseBytes = 32 << 20
)

// operatorClient is a client of the operator interface of an instance; its options are part of the command line.
type operatorClient struct {
	Operator  string `arg:"required" placeholder:"ADDRESS" help:"operator address of an instance: IP:port or URL"`
	TokenFile string `arg:"--token-file" placeholder:"FILE" help:"file with the token for the operator interface"`
}

// request sends one request and returns the body of a response with status 200.
func (o *operatorClient) request(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
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
		return nil, newFailure("write IP:port or a URL", "the operator address %q is not valid", o.Operator)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	// No proxy and no redirects: a proxy from the environment or a redirect would send the token to another host.
	client := &http.Client{
		Transport:     response.NewTransport(&http.Transport{DisableKeepAlives: true}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	reply, err := client.Do(r)
	if err != nil {
		return nil, newUnknownOutcomeError("request to the instance at %s failed: %v", o.Operator, err)
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxResponseBytes+1))
	if err != nil || len(data) > maxResponseBytes {
		return nil, newUnknownOutcomeError("the response of the instance at %s is incomplete or exceeds 32 MiB", o.Operator)
	}
	if reply.StatusCode != http.StatusOK {
		return nil, responseError(reply.StatusCode, data)
	}
	return data, nil
}

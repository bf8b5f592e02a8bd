package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

var errNoLength = errors.New("the answer has neither a length nor chunks, so a truncation is not detectable")

// Do sends a call once and returns the whole answer, whatever its status. The end of ctx ends the call. The
// error is a *NotSentError, a *RefusedError or an *InterruptedError; the first two mean that the call did not run.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	t := c.fresh
	if call.Repeatable {
		t = c.pooled
	}
	// RoundTrip instead of http.Client: no redirects, no cookies.
	response, err := t.RoundTrip(request)
	if err != nil {
		// The pool may hold further connections that are broken or stalled in the same way.
		c.pooled.CloseIdleConnections()
		if !sent.Load() {
			return nil, &NotSentError{Address: address, Cause: err}
		}
		return nil, &InterruptedError{Address: address, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Refused") == "true" {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 2048))
		return nil, &RefusedError{Address: address, Message: string(bytes.TrimSpace(text))}
	}
	data, err := c.read(call.Method, response)
	if err != nil {
		return nil, &InterruptedError{Address: address, Status: response.StatusCode, Cause: err}
	}
	return &Answer{Status: response.StatusCode, Header: endToEnd(response.Header), Body: data}, nil
}

func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, body{bytes.NewReader(call.Body)})
	if err != nil {
		return nil, err
	}
	if request.URL.Host != address {
		return nil, fmt.Errorf("path %q changes the address", call.Path)
	}
	if len(call.Body) == 0 && !call.Repeatable {
		// A fresh connection has no retries, so an empty body needs no guard against them.
		request.Body = http.NoBody
	}
	request.ContentLength = int64(len(call.Body))
	request.Header = endToEnd(call.Header)
	if _, ok := request.Header["User-Agent"]; !ok {
		// An explicit empty value stops net/http from adding its own.
		request.Header.Set("User-Agent", "")
	}
	return request, nil
}

// read returns the whole body; net/http reports a body that is shorter than its length or lacks its last chunk.
func (c *Client) read(method string, r *http.Response) ([]byte, error) {
	if r.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("the server switched protocols")
	}
	limit := int64(c.config.maxAnswer)
	if method == http.MethodHead {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, fmt.Errorf("the answer's %d bytes exceed the limit of %d", r.ContentLength, limit)
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("the answer exceeds the limit of %d bytes", limit)
	}
	if r.ContentLength >= 0 && int64(len(data)) != r.ContentLength {
		return nil, fmt.Errorf("the answer has %d of %d bytes", len(data), r.ContentLength)
	}
	return data, nil
}

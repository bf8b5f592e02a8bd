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

// errNoLength is the error for a response that ends with its connection.
var errNoLength = errors.New("response has neither Content-Length nor chunked encoding, so truncation is not detectable")

// Do sends a call once and returns the complete response, whatever its status. The call is canceled when ctx ends. The
// error is a *NotSentError, a *RefusedError or an *InterruptedError; the first two mean that the call did not run.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	// RoundTrip, unlike http.Client, neither follows redirects nor handles cookies.
	response, err := c.transport.RoundTrip(request)
	if err != nil {
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
	data, err := c.read(&call, response)
	if err != nil {
		return nil, &InterruptedError{Address: address, Status: response.StatusCode, Cause: err}
	}
	return &Answer{Status: response.StatusCode, Header: endToEnd(response.Header), Body: data}, nil
}

// newRequest returns the HTTP request for a call. It fails if the path would change the address.
func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, body{bytes.NewReader(call.Body)})
	if err != nil {
		return nil, err
	}
	if request.URL.Host != address {
		return nil, fmt.Errorf("path %q changes the server address", call.Path)
	}
	if len(call.Body) == 0 {
		// The transport does not retry on a new connection, so an empty body need not prevent retries.
		request.Body = http.NoBody
	}
	request.ContentLength = int64(len(call.Body))
	request.Header = endToEnd(call.Header)
	if _, ok := request.Header["User-Agent"]; !ok {
		// An explicit empty value prevents net/http from adding its default.
		request.Header.Set("User-Agent", "")
	}
	return request, nil
}

// read returns the complete body. net/http returns an error for a body that is shorter than its Content-Length or lacks its
// last chunk.
func (c *Client) read(call *Call, r *http.Response) ([]byte, error) {
	if r.StatusCode < http.StatusOK {
		return nil, fmt.Errorf("server responded with status %d, which ends no call", r.StatusCode)
	}
	limit := int64(c.config.maxResponse)
	if call.Method == http.MethodHead {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, fmt.Errorf("response of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	data, err := readBody(&reservingReader{Reader: io.LimitReader(r.Body, limit+1), reserve: call.Reserve}, r.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("read response body: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("response exceeds the limit of %d bytes", limit)
	}
	if r.ContentLength >= 0 && int64(len(data)) != r.ContentLength {
		return nil, fmt.Errorf("response truncated: got %d of %d bytes", len(data), r.ContentLength)
	}
	return data, nil
}

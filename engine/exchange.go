package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// exchange sends one request by t and reports whether a byte of it may have been sent.
func exchange(ctx context.Context, t *http.Transport, method, url string, header http.Header, data []byte) (*http.Response, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, url, body{bytes.NewReader(data)})
	if err != nil {
		return nil, false, err
	}
	request.ContentLength = int64(len(data))
	if header != nil {
		request.Header = header
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set("Deadline-Ms", strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
	}
	// RoundTrip instead of http.Client: no redirects, no cookies.
	response, err := t.RoundTrip(request)
	return response, sent.Load(), err
}

// refused says whether the response is a rejection before running.
func refused(r *http.Response) bool {
	return (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusInsufficientStorage) &&
		r.Header.Get("Refused") == "true"
}

// message reads a bounded error text and closes the body.
func message(r *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(r.Body, 2048))
	r.Body.Close()
	return string(bytes.TrimSpace(data))
}

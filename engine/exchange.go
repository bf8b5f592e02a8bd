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

	"github.com/poplarwinch/poplarwinch/internal/response"
)

// exchange sends one request with t. It also reports whether any byte of it may have been sent.
func exchange(ctx context.Context, t *response.Transport, method, url string, header http.Header, data []byte) (*http.Response, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, url, nonRewindableBody{bytes.NewReader(data)})
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
	// An http.Client would follow redirects and handle cookies; RoundTrip does neither.
	response, err := t.RoundTrip(request)
	return response, sent.Load(), err
}

// isRefusal reports whether the engine rejected the request before running it.
func isRefusal(r *http.Response) bool {
	return (r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusInsufficientStorage) &&
		r.Header.Get("Refused") == "true"
}

// readMessage reads the error text of a response, up to 2 KiB, and closes the body.
func readMessage(r *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(r.Body, 2048))
	r.Body.Close()
	return string(bytes.TrimSpace(data))
}

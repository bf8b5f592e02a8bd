package connection

import (
	"bytes"
	"io"
	"net/http"
)

// bufferingTransport sends request bodies from memory. The bodies of the SDK end early when the response arrives before
// the transport has read them completely, which makes the transport close the connection.
type bufferingTransport struct{ next http.RoundTripper }

// RoundTrip sends a copy of r without GetBody, so that the transport cannot send it a second time.
func (b bufferingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return b.next.RoundTrip(r)
	}
	data, err := io.ReadAll(r.Body)
	if closeErr := r.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, err
	}
	clone := *r
	clone.Body, clone.GetBody, clone.ContentLength = io.NopCloser(bytes.NewReader(data)), nil, int64(len(data))
	if len(data) == 0 {
		clone.Body = http.NoBody
	}
	return b.next.RoundTrip(&clone)
}

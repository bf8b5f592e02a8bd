package connection

import (
	"bytes"
	"io"
	"net/http"
)

// buffer sends request bodies from memory. The SDK's own bodies end early when the response arrives before the transport
// has read their end, which makes the transport close the connection.
type buffer struct{ next http.RoundTripper }

// RoundTrip sends a copy of r, which the transport cannot send a second time as it has no GetBody.
func (b buffer) RoundTrip(r *http.Request) (*http.Response, error) {
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
	c := *r
	c.Body, c.GetBody, c.ContentLength = io.NopCloser(bytes.NewReader(data)), nil, int64(len(data))
	if len(data) == 0 {
		c.Body = http.NoBody
	}
	return b.next.RoundTrip(&c)
}

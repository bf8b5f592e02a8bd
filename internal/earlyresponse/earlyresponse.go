// Package earlyresponse lets HTTP handlers respond before they have read the request body.
package earlyresponse

import (
	"io"
	"net/http"
	"time"

	"github.com/poplarwinch/poplarwinch/internal/clientlimit"
)

// Begin prepares a response that is written before the rest of the request body has arrived, and closes the connection after it. The
// returned function sends the response, which is complete then, and reads and drops up to maxBody bytes of the body within timeout:
// closing a connection with unread bytes resets it, and the response on its way to the caller could be lost.
func Begin(w http.ResponseWriter, r *http.Request, maxBody int64, timeout time.Duration) (end func()) {
	control := http.NewResponseController(w)
	w.Header().Set("Connection", "close")
	_ = control.EnableFullDuplex() // keeps net/http from reading the body before it writes the response
	return func() {
		clientlimit.Refused(r.Context())
		if control.Flush() != nil || r.Header.Get("Expect") != "" {
			return // the caller is gone, or sends no body after this response
		}
		if control.SetReadDeadline(time.Now().Add(timeout)) == nil {
			_, _ = io.CopyN(io.Discard, r.Body, maxBody)
		}
	}
}

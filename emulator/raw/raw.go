// Package raw is a stand-in for a server in trouble: it writes bytes to the connection as they are, also such that are no HTTP.
package raw

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// timeout bounds all reads and writes of a connection.
const timeout = 10 * time.Second

// Handler returns a handler that answers each request with a function, which gets the connection before the body of the request was read.
// The connection is closed afterwards.
func Handler(answer func(c *Connection)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = connection.Close() }()
		_ = connection.SetDeadline(time.Now().Add(timeout))
		answer(&Connection{Conn: connection, Request: r, body: io.LimitReader(buffered, max(r.ContentLength, 0))})
	})
}

// Connection is a connection with one request, whose head was read.
type Connection struct {
	net.Conn
	// Request is the request without its body.
	Request *http.Request
	body    io.Reader
}

// ReadBody reads and drops a body of known length.
func (c *Connection) ReadBody() { _, _ = io.Copy(io.Discard, c.body) } // the client may have left

// WriteText writes bytes as they are.
func (c *Connection) WriteText(parts ...string) {
	_, _ = io.WriteString(c.Conn, strings.Join(parts, "")) // the client may have left
}

// Reset resets the connection, so that what was written has no regular end.
func (c *Connection) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// End ends the server's side of the connection in order.
func (c *Connection) End() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

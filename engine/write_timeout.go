package engine

import (
	"net"
	"time"
)

// writeTimeoutConn is a connection with a timeout for each write. http.Transport has none: a prompt of several megabytes
// on a stalled connection fills the socket buffers and blocks before the header timeout starts.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes p, or fails after the timeout.
func (c *writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

package engine

import (
	"net"
	"time"
)

// connection bounds the time of each write. http.Transport has no such limit, and a prompt of several megabytes
// on a stalled connection fills the socket buffers and blocks before the header timeout starts.
type connection struct {
	net.Conn
	timeout time.Duration
}

// Write writes p within the timeout.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

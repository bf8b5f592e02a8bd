package response

import (
	"net"
	"sync/atomic"
)

// conn is a connection to a server that checks the heads of its responses.
type conn struct {
	net.Conn
	server string
	// head is the head that is being received, or nil while a body is.
	head atomic.Pointer[head]
}

func newConn(c net.Conn, server string) *conn {
	return &conn{Conn: c, server: server}
}

// expectHead says that the next bytes are the head of a response.
func (c *conn) expectHead() { c.head.Store(&head{}) }

// Read reads from the connection. It returns no byte of a read that shows a head to be malformed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	h := c.head.Load()
	if h == nil || n == 0 {
		return n, err
	}
	final, problem := h.scan(p[:n])
	if problem != nil {
		return 0, &MalformedError{Server: c.server, Problem: problem}
	}
	if final {
		c.head.Store(nil)
	}
	return n, err
}

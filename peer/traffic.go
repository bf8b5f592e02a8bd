package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent to and received from other instances, without TCP/IP headers.
type Traffic struct{ sent, received atomic.Uint64 }

// Traffic returns the bytes that this instance sent to and received from other instances.
func (e *Endpoint) Traffic() (sent, received uint64) {
	return e.traffic.sent.Load(), e.traffic.received.Load()
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.traffic}, nil
}

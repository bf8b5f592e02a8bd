package clientlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// guardedListener wraps the connections of a listener.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Listen returns a listener whose connections the guard bounds.
func (g *Guard) Listen(l net.Listener) net.Listener { return &guardedListener{Listener: l, guard: g} }

// Accept returns the next connection for which there is room, and closes those before it.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: n, guard: l.guard}
		c.reading.Store(true)
		if l.guard.admit(c) {
			setSendBuffer(n)
			return c, nil
		}
		l.guard.refusals.add(ReasonDescriptors, n.RemoteAddr().String())
		_ = n.Close() // nothing was read
	}
}

// setSendBuffer bounds the system's buffer for answers that are not read.
func setSendBuffer(n net.Conn) {
	if tcp, ok := tcpConn(n); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // the system's default is larger, but works
	}
}

// tcpConn returns the TCP connection below an accepted one.
func tcpConn(n net.Conn) (*net.TCPConn, bool) {
	if wrapped, ok := n.(interface{ NetConn() net.Conn }); ok {
		n = wrapped.NetConn()
	}
	tcp, ok := n.(*net.TCPConn)
	return tcp, ok
}

// cappedListener bounds the number of connections of a listener that isn't for callers.
type cappedListener struct {
	net.Listener
	most int

	mutex sync.Mutex
	open  map[*cappedConn]struct{}
}

// cappedConn is a connection of a cappedListener.
type cappedConn struct {
	net.Conn
	listener *cappedListener
	// usedAt is the time of the last input, in nanoseconds since start.
	usedAt atomic.Int64
}

// Cap returns a listener with at most the number of connections. A new one replaces the one that has sent nothing for the longest time.
func Cap(l net.Listener, most int) net.Listener {
	return &cappedListener{Listener: l, most: most, open: map[*cappedConn]struct{}{}}
}

// Accept returns the next connection.
func (l *cappedListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &cappedConn{Conn: n, listener: l}
	c.usedAt.Store(int64(time.Since(start)))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.open) >= l.most {
		l.closeOldest()
	}
	l.open[c] = struct{}{}
	return c, nil
}

// closeOldest closes the connection that has sent nothing for the longest time. The caller holds the lock.
func (l *cappedListener) closeOldest() {
	var oldest *cappedConn
	for c := range l.open {
		if oldest == nil || c.usedAt.Load() < oldest.usedAt.Load() {
			oldest = c
		}
	}
	delete(l.open, oldest)
	_ = oldest.Conn.Close()
}

// Read reads from the connection.
func (c *cappedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.usedAt.Store(int64(time.Since(start)))
	}
	return n, err
}

// CloseWrite ends the output, if the connection can.
func (c *cappedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *cappedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

package clientlimit

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// writePieceBytes is the size of the pieces in which writes are made, each of which is progress.
const writePieceBytes = 64 << 10

// Conn is a connection of a client, which counts the bytes that arrive before a request is known.
type Conn struct {
	net.Conn
	guard *Guard

	// The guard's lock protects these fields.
	phase   phase
	since   time.Time
	element *list.Element
	charged int64
	expired bool
	// began is set from the first byte of a request until the end of its response.
	began bool

	// reading is set while no request is known.
	reading atomic.Bool
	// ending is set once the connection is to be closed unless a request has begun to arrive.
	ending atomic.Bool
	// answered is set once a request was answered. Only the goroutine that reads uses it.
	answered bool
	// headerBytes and headerLines count what arrived since the last request. Only the goroutine that reads uses them.
	headerBytes, headerLines int64
	// writingSince is the time at which the current write began, in nanoseconds since start; zero if there is none.
	writingSince atomic.Int64
}

// start is the origin of the times of writes.
var start = time.Now()

// Read reads from the connection. It refuses the request if its headers are too large.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.reading.Load() {
		return c.Conn.Read(p)
	}
	if c.headerBytes == 0 && c.endsUnused() {
		return 0, io.EOF
	}
	left := c.guard.limits().MaxHeader + requestLineBytes - c.headerBytes
	if left <= 0 {
		return c.refuse(ReasonHeaderSize, "431 Request Header Fields Too Large", p)
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	if n > 0 && c.reading.Load() && !c.received(p[:n]) {
		return c.refuse(ReasonMemory, "503 Service Unavailable\r\nRetry-After: 1", p)
	}
	return n, err
}

// received counts input before a request is known, and reports whether there is memory for it.
func (c *Conn) received(data []byte) bool {
	first := c.headerBytes == 0
	c.headerBytes += int64(len(data))
	c.headerLines += int64(bytes.Count(data, []byte{'\n'}))
	if first {
		c.guard.begin(c)
	}
	need := connectionBytes + copiesOfHeader*c.headerBytes + fieldBytes*c.headerLines
	c.guard.mutex.Lock()
	defer c.guard.mutex.Unlock()
	if c.element == nil || need <= c.charged {
		return true
	}
	return c.guard.charge(c, need-c.charged)
}

// endsUnused reports whether the connection is to be closed because no request has begun to arrive on it.
func (c *Conn) endsUnused() bool {
	return c.ending.Load() || c.answered && c.guard.draining.Load()
}

// refuse writes a response, which guarantees that nothing has run, and reads on for a moment so that the response arrives.
func (c *Conn) refuse(reason Reason, status string, buffer []byte) (int, error) {
	c.guard.refusals.add(reason, c.RemoteAddr().String())
	c.guard.move(c, refused)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	const headers = "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(c.Conn, "HTTP/1.1 "+status+headers); err != nil {
		return 0, io.EOF
	}
	_ = c.CloseWrite()
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if read += n; err != nil {
			break
		}
	}
	return 0, io.EOF
}

// Write writes to the connection in pieces.
func (c *Conn) Write(p []byte) (written int, err error) {
	defer c.writingSince.Store(0)
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		c.writingSince.Store(int64(max(time.Since(start), 1)))
		n, err := c.Conn.Write(piece)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// blockedFor returns the time for which the current write has been blocked.
func (c *Conn) blockedFor() time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(start) - time.Duration(since)
}

// CloseWrite ends the output. The connection is one of the first to be closed then.
func (c *Conn) CloseWrite() error {
	c.guard.move(c, refused)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.guard.mutex.Lock()
	c.guard.remove(c)
	c.guard.mutex.Unlock()
	return c.Conn.Close()
}

// contextKey is the key of the connection in the context of its requests.
type contextKey struct{}

// ConnContext must be set as http.Server.ConnContext.
func ConnContext(ctx context.Context, n net.Conn) context.Context {
	if c, ok := n.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// Uploading marks the connection of a request as one whose request body has not arrived, until the returned function is called.
func Uploading(ctx context.Context) (end func()) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	c.guard.move(c, uploading)
	return func() { c.guard.move(c, running) }
}

// ResetUntilComplete makes every end of a request's connection a reset until the returned function is called, also the end of the process.
// A response that only the end of the connection ends can't look complete before.
func ResetUntilComplete(ctx context.Context) (complete func()) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	tcp, ok := tcpConn(c.Conn)
	if !ok {
		return func() {}
	}
	_ = tcp.SetLinger(0) // fails only on a closed connection
	return func() { _ = tcp.SetLinger(-1) }
}

// Refused marks the connection of a request as one that has got its last response.
func Refused(ctx context.Context) {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		c.guard.move(c, refused)
	}
}

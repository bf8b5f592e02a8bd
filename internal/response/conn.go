package response

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// writeStopInterval is the time between two attempts to end a write that is in progress.
const writeStopInterval = time.Millisecond

// pastDeadline ends a write at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to a server that checks the heads of its responses and tells a reset from an end.
type conn struct {
	net.Conn
	server string
	// head is the head that is being received, or nil while a body is.
	head atomic.Pointer[head]
	// ended is closed once nothing more can be read.
	ended   chan struct{}
	endOnce sync.Once
	// writing is held during a write. It protects writeError, the error of the first write that failed.
	writing    sync.Mutex
	writeError error
}

func newConn(c net.Conn, server string) *conn {
	return &conn{Conn: c, server: server, ended: make(chan struct{})}
}

// expectHead says that the next bytes are the head of a response.
func (c *conn) expectHead() { c.head.Store(&head{}) }

// Read reads from the connection. It returns no byte of a read that shows a head to be malformed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		err = c.readError(err)
	}
	h := c.head.Load()
	if h == nil || n == 0 {
		return n, err
	}
	final, problem := h.scan(p[:n])
	if problem != nil {
		c.end()
		return 0, &MalformedError{Server: c.server, Problem: problem}
	}
	if final {
		c.head.Store(nil)
	}
	return n, err
}

// readError returns the error of a read. The system reports a reset only once: if a write got it, the read sees a regular end.
func (c *conn) readError(err error) error {
	defer c.end()
	if !errors.Is(err, io.EOF) {
		return err
	}
	// If the server has only ended its side, a write may be blocked. The request is given up then, as net/http does after the end of a
	// connection. Deadlines that the connection sets for its writes may replace this one, so it is set until the write has ended.
	for !c.writing.TryLock() {
		_ = c.SetWriteDeadline(pastDeadline) // fails only on a closed connection, whose writes end
		time.Sleep(writeStopInterval)
	}
	defer c.writing.Unlock()
	if c.writeError != nil && isReset(c.writeError) {
		return &ResetError{Server: c.server, Cause: c.writeError}
	}
	return err
}

// Write writes to the connection. If that fails because the server has closed or reset the connection, it returns only once all that has
// arrived was read or the connection is closed: net/http closes it after a failed write, and a response that has arrived would be lost.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		<-c.ended
	}
	return n, err
}

// write writes and keeps the first error.
func (c *conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeError == nil {
		c.writeError = err
	}
	return n, err
}

// isReset reports whether a write failed because the connection broke. EPIPE says that the server had ended its side in order before; a
// deadline of the client, or a connection that it closed itself, says nothing of the server.
func isReset(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// end says that nothing more can be read.
func (c *conn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// Close closes the connection.
func (c *conn) Close() error {
	c.end()
	return c.Conn.Close()
}

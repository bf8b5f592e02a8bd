package clientlimit_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// FuzzInput guards against input that crashes a server before a request is known, is held beyond the limits, or leaves memory taken.
func FuzzInput(f *testing.F) {
	f.Add([]byte(request+"\r\n"+request+"\r\n"), uint16(7))
	f.Add([]byte(strings.Repeat("\r\n", 5000)), uint16(4096))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;e\r\nx\r\n0\r\nT: x\r\n\r\n\r\n\r\n"), uint16(3))
	f.Add([]byte(request+strings.Repeat("a:\r\n", 6000)), uint16(500))
	f.Add([]byte(request+"X: "+strings.Repeat("x", 20_000)), uint16(1000))
	const memory = 4 << 20
	g := newGuarded(f, memory, 100, roomy)
	f.Fuzz(func(t *testing.T, data []byte, piece uint16) {
		c, err := net.Dial("tcp", g.listener.Addr().String())
		if err != nil {
			t.Skip("no connection") // the machine has no ports left
		}
		_ = c.SetDeadline(time.Now().Add(answerTimeout))
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for size := max(int(piece), len(data)/32, 1); len(data) > 0; {
			n := min(size, len(data))
			if _, err := c.Write(data[:n]); err != nil {
				break
			}
			data = data[n:]
		}
		if used := g.memory.Used(); used > memory {
			t.Errorf("%d bytes are taken", used)
		}
		_ = c.(*net.TCPConn).SetLinger(0) // leaves no port behind
		_ = c.Close()
		for end := time.Now().Add(answerTimeout); g.memory.Used() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are still taken after the end of the connection", g.memory.Used())
			}
		}
	})
}

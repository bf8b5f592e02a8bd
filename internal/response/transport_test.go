package response

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
)

// zeros is an endless source of zeros.
type zeros struct{}

// Read fills p.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// server is a server that writes raw bytes, and a client of it.
type server struct {
	*httptest.Server
	transport *Transport
}

func newServer(t *testing.T, encrypted, keepAlive bool, answer func(c *raw.Connection)) *server {
	t.Helper()
	s := &server{Server: httptest.NewUnstartedServer(raw.Handler(answer))}
	settings := &http.Transport{DisableKeepAlives: !keepAlive, DisableCompression: true}
	if encrypted {
		s.StartTLS()
		settings.TLSClientConfig = s.Client().Transport.(*http.Transport).TLSClientConfig
	} else {
		s.Start()
	}
	s.transport = NewTransport(settings)
	t.Cleanup(func() {
		s.transport.CloseIdleConnections()
		s.Close()
	})
	return s
}

// send sends a request with a body of the length and returns the body of the response.
func (s *server) send(t *testing.T, length int) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, io.NopCloser(io.LimitReader(zeros{}, int64(length))))
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = int64(length)
	if length == 0 {
		r.Body = http.NoBody
	}
	response, err := s.transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// Guards against responses with heads that HTTP/1.1 forbids, also on encrypted connections, with errors that don't name the server.
func TestMalformedHeads(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		var current atomic.Pointer[raw.Answer]
		s := newServer(t, encrypted, false, func(c *raw.Connection) {
			c.ReadBody()
			c.WriteText(current.Load().Text("X-Sound: a\r\n", "answer"))
		})
		for _, broken := range raw.Malformed() {
			current.Store(&broken)
			text, err := s.send(t, 4)
			var malformed *MalformedError
			if !errors.As(err, &malformed) || malformed.Server != s.Listener.Addr().String() {
				t.Errorf("%s, encrypted %v: got %q and %v", broken.Name, encrypted, text, err)
			}
		}
		for _, sound := range raw.Sound() {
			current.Store(&sound)
			if text, err := s.send(t, 4); err != nil || text != "answer" {
				t.Errorf("%s, encrypted %v: got %q and %v", sound.Name, encrypted, text, err)
			}
		}
	}
}

// Guards against results that depend on how the bytes of a head arrive.
func TestHeadsInTwoReads(t *testing.T) {
	isMalformed := func(first, second string) bool {
		h := &head{}
		final, err := h.scan([]byte(first))
		if err == nil && !final {
			_, err = h.scan([]byte(second))
		}
		return err != nil
	}
	for i, answer := range append(raw.Malformed(), raw.Sound()...) {
		text := answer.Text("X-Sound: a\r\n", "answer")
		for n := range text {
			if got, want := isMalformed(text[:n], text[n:]), i < len(raw.Malformed()); got != want {
				t.Errorf("%s, %d bytes and the rest: malformed: %v, want %v", answer.Name, n, got, want)
			}
		}
	}
}

// Guards against a malformed head after a sound response on the same connection.
func TestMalformedHeadOnAKeptConnection(t *testing.T) {
	s := newServer(t, false, true, func(c *raw.Connection) {
		c.ReadBody()
		c.WriteText("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
		n, err := io.ReadAtLeast(c, make([]byte, 4096), 1) // the second request
		if n > 0 && err == nil {
			c.WriteText("HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 6\r\n\r\nsecond")
		}
	})
	if text, err := s.send(t, 0); err != nil || text != "first" {
		t.Fatalf("got %q and %v", text, err)
	}
	var malformed *MalformedError
	if text, err := s.send(t, 0); !errors.As(err, &malformed) {
		t.Errorf("got %q and %v", text, err)
	}
}

// Guards against a part of a response that looks complete: the server answers before it has read the request, and resets the connection
// after a while, which the side that writes the request or the one that reads the response may notice first.
func TestResetIsNoEnd(t *testing.T) {
	for _, part := range raw.Parts() {
		for _, length := range raw.Uploads() {
			for _, delay := range []time.Duration{0, 5 * time.Millisecond, 400 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", part.Name, length, delay), func(t *testing.T) {
					t.Parallel()
					s := newServer(t, false, false, func(c *raw.Connection) {
						c.WriteText(part.Text("", "answer"))
						time.Sleep(delay)
						c.Reset()
					})
					for range 10 {
						if text, err := s.send(t, length); err == nil {
							t.Errorf("got %q as a complete response", text)
						}
					}
				})
			}
		}
	}
}

// Guards against whole responses that are lost because the server sent them before it had read the request: it reads on, stops reading, or
// resets the connection. The last can't be told from a part if the response ends with its connection.
func TestEarlyResponses(t *testing.T) {
	for _, whole := range raw.Whole() {
		for _, length := range raw.Uploads() {
			for name, end := range map[string]func(c *raw.Connection){
				"reads on": func(c *raw.Connection) { c.End(); c.ReadBody() },
				"stops":    func(c *raw.Connection) { c.End(); time.Sleep(100 * time.Millisecond) },
				"resets":   (*raw.Connection).Reset,
			} {
				if name == "resets" && whole.EndsWithConnection() {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d bytes, server %s", whole.Name, length, name), func(t *testing.T) {
					t.Parallel()
					s := newServer(t, false, false, func(c *raw.Connection) {
						c.WriteText(whole.Text("", "answer"))
						end(c)
					})
					for range 10 {
						if text, err := s.send(t, length); err != nil || text != "answer" {
							t.Errorf("got %q and %v", text, err)
						}
					}
				})
			}
		}
	}
}

// Guards against bodies in chunks that look complete without their end.
func TestTruncatedChunks(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nans\r\n3\r\nwer\r\n0\r\nX-Trailer: a\r\n\r\n"
	var sent atomic.Int64
	s := newServer(t, false, false, func(c *raw.Connection) { c.WriteText(whole[:sent.Load()]) })
	for n := range len(whole) {
		sent.Store(int64(n))
		if text, err := s.send(t, 0); err == nil {
			t.Errorf("%d of %d bytes: got %q", n, len(whole), text)
		}
	}
	sent.Store(int64(len(whole)))
	if text, err := s.send(t, 0); err != nil || text != "answer" {
		t.Errorf("got %q and %v", text, err)
	}
}

// Guards against an upload whose connection, goroutines and body are kept after its response has failed or was given up.
func TestUploadsEnd(t *testing.T) {
	before := runtime.NumGoroutine()
	s := newServer(t, false, false, func(c *raw.Connection) {
		c.WriteText("HTTP/1.1 200 OK\r\n", "Content-Length: 100000\r\n\r\n", strings.Repeat("a", 50_000))
		c.Reset()
	})
	for range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, io.LimitReader(zeros{}, 40_000_000))
		if err != nil {
			t.Fatal(err)
		}
		if response, err := s.transport.RoundTrip(r); err == nil {
			_ = response.Body.Close() // nothing of it was read
		}
	}
	s.Close()
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}

// Guards against sound responses without a body that are refused: they may say how long the body would be.
func TestResponsesWithoutBody(t *testing.T) {
	for _, c := range []struct{ method, head string }{
		{http.MethodHead, "200 OK\r\nContent-Length: 7"},
		{http.MethodHead, "200 OK\r\nTransfer-Encoding: chunked"},
		{http.MethodGet, "304 Not Modified\r\nContent-Length: 7"},
		{http.MethodGet, "304 Not Modified\r\nETag: \"a\""},
		{http.MethodGet, "204 No Content\r\nX-Note: a"},
		{http.MethodGet, "204 No Content\r\nContent-Length: 0"},
	} {
		s := newServer(t, false, true, func(n *raw.Connection) { n.WriteText("HTTP/1.1 ", c.head, "\r\n\r\n") })
		r, err := http.NewRequestWithContext(t.Context(), c.method, s.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := s.transport.RoundTrip(r)
		if err != nil {
			t.Errorf("%s, %q: %v", c.method, c.head, err)
			continue
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || len(data) > 0 {
			t.Errorf("%s, %q: got %q and %v", c.method, c.head, data, err)
		}
	}
}

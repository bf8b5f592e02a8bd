package logqueue_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/internal/logqueue"
)

// blockedWriter is a log output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

// Write blocks until release is closed.
func (s *blockedWriter) Write(data []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(data)
}

// Guards against requests that wait for a blocked log output, and against lines that are dropped without being counted.
func TestStuckLog(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	queue := logqueue.New(writer)
	startedAt := time.Now()
	for range 10_000 {
		if _, err := queue.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if waited := time.Since(startedAt); waited > 5*time.Second {
		t.Errorf("10,000 writes took %s, limit 5 s", waited)
	}
	close(writer.release)
	time.Sleep(10 * time.Millisecond)
	_, _ = queue.Write([]byte("last\n"))
	queue.Close()
	if text := writer.String(); !strings.Contains(text, "log lines dropped") || !strings.HasSuffix(text, "last\n") && !strings.Contains(text, "last\n") {
		t.Errorf("got %d bytes without the count of dropped lines or without the last line", len(text))
	}
}

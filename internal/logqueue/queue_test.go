package logqueue_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/internal/logqueue"
)

// stuck is a log that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

// Write waits for the release.
func (s *stuck) Write(data []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(data)
}

// Guards against requests that wait for a log which nobody reads, and against lines that are dropped without a trace.
func TestStuckLog(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	q := logqueue.New(out)
	began := time.Now()
	for range 10_000 {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if waited := time.Since(began); waited > 5*time.Second {
		t.Errorf("writing took %s", waited)
	}
	close(out.release)
	time.Sleep(10 * time.Millisecond)
	_, _ = q.Write([]byte("last\n"))
	q.Close()
	if text := out.String(); !strings.Contains(text, "log lines dropped") || !strings.HasSuffix(text, "last\n") && !strings.Contains(text, "last\n") {
		t.Errorf("got %d bytes without the count of dropped lines or without the last line", len(text))
	}
}

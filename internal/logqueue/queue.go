// Package logqueue writes log lines in the background, so that no request waits for a slow log output.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is the capacity of the queue in lines. Further lines are dropped and counted.
const maxQueuedLines = 4096

// Queue is an io.Writer that never blocks and drops lines when it is full.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a queue that writes to out in the background until Close.
func New(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.loop()
	return q
}

// Write queues a copy of one line. It always reports success.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close returns once the queued lines are written. Write must not be called afterwards.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}

// loop writes the queued lines, all that are waiting in one write, and the number of dropped ones.
func (q *Queue) loop() {
	defer close(q.done)
	for line := range q.lines {
		buffer := append([]byte(nil), line...)
		for waiting := len(q.lines); waiting > 0; waiting-- {
			buffer = append(buffer, <-q.lines...)
		}
		if n := q.dropped.Swap(0); n > 0 {
			buffer = fmt.Appendf(buffer, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"count\":%d}}\n", n)
		}
		// A failure of the log output can't be reported anywhere.
		_, _ = q.out.Write(buffer)
	}
}

// Package logqueue writes log lines in the background, so that no request waits for a slow log.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
)

// capacity is the number of lines that wait; further ones are dropped and counted.
const capacity = 4096

// Queue is an io.Writer that never blocks.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// New returns a queue in front of out and starts its loop.
func New(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, capacity), ended: make(chan struct{})}
	go q.loop()
	return q
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued. Write must not be called afterwards.
func (q *Queue) Close() {
	close(q.lines)
	<-q.ended
}

func (q *Queue) loop() {
	defer close(q.ended)
	for line := range q.lines {
		buffer := append([]byte(nil), line...)
		for waiting := len(q.lines); waiting > 0; waiting-- {
			buffer = append(buffer, <-q.lines...)
		}
		if n := q.dropped.Swap(0); n > 0 {
			buffer = fmt.Appendf(buffer, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"count\":%d}}\n", n)
		}
		// A log that can't be written leaves nowhere to report it.
		_, _ = q.out.Write(buffer)
	}
}

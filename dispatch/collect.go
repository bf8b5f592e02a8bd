package dispatch

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// maxAnswerBytes is the largest response body that is buffered.
	maxAnswerBytes = 16 << 20
	// freeAnswerBytes is the size up to which a buffered body does not count for the memory budget, so that small answers pass while
	// others use it up.
	freeAnswerBytes = 64 << 10
	// minPartBytes and maxPartBytes bound the parts in which a body is buffered.
	minPartBytes = 4 << 10
	maxPartBytes = 64 << 10
)

// collected is a buffered response body in parts, so that it is not copied as it grows.
type collected struct {
	parts [][]byte
	size  int64
	// taken is the part of size that counts for the memory budget.
	taken int64
}

// collect reads a whole response body, which holds memory of the budget until discard. The error says which limit the body passed,
// if any; nothing is held then.
func (d *Dispatcher) collect(body io.Reader) (*collected, error) {
	c := &collected{}
	part := make([]byte, 0, minPartBytes)
	for {
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		switch {
		case errors.Is(err, io.EOF):
			c.parts = append(c.parts, part)
			return c, nil
		case err == nil && len(part) == cap(part):
			c.parts = append(c.parts, part)
			c.size += int64(len(part))
			part, err = d.nextPart(c)
		}
		if err != nil {
			d.discard(c)
			return nil, err
		}
	}
}

// nextPart returns an empty part for the rest of a body, within its limits.
func (d *Dispatcher) nextPart(c *collected) ([]byte, error) {
	size := min(max(c.size, minPartBytes), maxPartBytes)
	if c.size+size > maxAnswerBytes {
		return nil, fmt.Errorf("the response has more than %d bytes; the limit is %d", c.size, maxAnswerBytes)
	}
	if c.size+size > freeAnswerBytes {
		if !d.memory.Take(size) {
			return nil, fmt.Errorf("the memory for responses is used up; this one has more than %d bytes", c.size)
		}
		c.taken += size
	}
	if size == maxPartBytes {
		return (*parts.Get().(*[]byte))[:0], nil
	}
	return make([]byte, 0, size), nil
}

// parts has unused parts of maxPartBytes, so that large answers one after the other need no more memory than one.
var parts = sync.Pool{New: func() any {
	part := make([]byte, 0, maxPartBytes)
	return &part
}}

// discard gives back the memory of a body, which must not be used afterwards.
func (d *Dispatcher) discard(c *collected) {
	for _, part := range c.parts {
		if cap(part) == maxPartBytes {
			parts.Put(&part)
		}
	}
	d.memory.Return(c.taken)
	c.parts, c.taken = nil, 0
}

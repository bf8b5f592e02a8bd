package service

import (
	"errors"
	"io"
)

// errNoMemory is the error for a response for which there is no memory.
var errNoMemory = errors.New("the memory for responses is used up")

// reservingReader takes memory for what it reads.
type reservingReader struct {
	io.Reader
	reserve func(n int64) bool
}

// Read reads from the response.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && r.reserve != nil && !r.reserve(int64(n)) {
		return 0, errNoMemory
	}
	return n, err
}

// readBody reads a whole response body. One with a length is read into a buffer of that size, so that no larger one is left over.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, length)
	n, err := io.ReadFull(r, data)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil // the caller compares the length
	}
	return data[:n], err
}

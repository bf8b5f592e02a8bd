package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

var errLineTooLong = errors.New("line or event data exceeds the length limit")

// event is a server-sent event or a comment.
type event struct {
	id, data []byte
	comment  bool
}

// eventReader reads server-sent events and bounds the length of lines and of an event's data.
type eventReader struct {
	scanner *bufio.Scanner
	max     int
	id      []byte
	data    []byte
}

func newEventReader(r io.Reader, maxLine int) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, min(4096, maxLine)), maxLine)
	return &eventReader{scanner: s, max: maxLine}
}

// next returns the next event, whose slices are valid until the following call. An event that is truncated by the end of
// the input is not returned.
func (r *eventReader) next() (event, error) {
	r.id, r.data = r.id[:0], r.data[:0]
	hasData := false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if !hasData {
				r.id = r.id[:0]
				continue
			}
			return event{id: r.id, data: r.data}, nil
		}
		if line[0] == ':' {
			return event{data: bytes.TrimSpace(line[1:]), comment: true}, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			r.id = append(r.id[:0], value...)
		case "data":
			if hasData {
				r.data = append(r.data, '\n')
			}
			hasData = true
			if len(r.data)+len(value) > r.max {
				return event{}, errLineTooLong
			}
			r.data = append(r.data, value...)
		}
	}
	if err := r.scanner.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return event{}, errLineTooLong
		}
		return event{}, err
	}
	return event{}, io.EOF
}

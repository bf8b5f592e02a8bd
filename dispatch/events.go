package dispatch

import (
	"bytes"
	"fmt"
)

// maxEventBytes is the largest size of an event.
const maxEventBytes = 64 << 10

// splitter splits an event stream into complete events. It never returns part of an event from add.
type splitter struct {
	partial []byte
	// last is the id of the last complete event that has one.
	last string
}

// separator terminates an event.
var separator = []byte("\n\n")

// add appends received bytes and returns the events that are complete now. The error says that the event after these is too large.
func (s *splitter) add(data []byte) ([]byte, error) {
	searched := max(len(s.partial)-len(separator)+1, 0)
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial[searched:], separator)
	if end < 0 {
		return nil, s.checkSize()
	}
	end += searched + len(separator)
	complete := bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	if id, ok := lastID(complete); ok {
		s.last = id
	}
	return complete, s.checkSize()
}

// checkSize returns an error if the incomplete event is too large.
func (s *splitter) checkSize() error {
	if len(s.partial) > maxEventBytes {
		return fmt.Errorf("an event has more than %d bytes", maxEventBytes)
	}
	return nil
}

// hasContent reports whether complete events have more than comments and empty lines.
func hasContent(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line[0] != ':' && line[0] != '\n' {
			return true
		}
	}
	return false
}

// bytesOfEvent returns the number of bytes that were received of an event that is not complete; zero if there is none.
func (s *splitter) bytesOfEvent() int { return len(bytes.Trim(s.partial, "\r\n")) }

// flush returns the bytes of an incomplete event and clears the buffer.
func (s *splitter) flush() []byte {
	data := s.partial
	s.partial = nil
	return data
}

// lastID returns the id of the last event in data that has one.
func lastID(data []byte) (string, bool) {
	field := []byte("id:")
	for i := len(data); i > 0; {
		i = bytes.LastIndex(data[:i], field)
		if i < 0 {
			return "", false
		}
		if i == 0 || data[i-1] == '\n' {
			line, _, _ := bytes.Cut(data[i+len(field):], []byte("\n"))
			return string(bytes.TrimSpace(line)), true
		}
	}
	return "", false
}

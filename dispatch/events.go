package dispatch

import "bytes"

// splitter splits an event stream into complete events. It never returns part of an event from add.
type splitter struct {
	partial []byte
	// last is the id of the last complete event that has one.
	last string
}

// separator terminates an event.
var separator = []byte("\n\n")

// add appends received bytes and returns the events that are complete now.
func (s *splitter) add(data []byte) []byte {
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, separator)
	if end < 0 {
		return nil
	}
	end += len(separator)
	complete := bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	if id, ok := lastID(complete); ok {
		s.last = id
	}
	return complete
}

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

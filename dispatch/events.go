package dispatch

import "bytes"

// events splits an event stream into whole events. It never passes on a part of an event.
type events struct {
	partial []byte
	// last is the id of the last whole event.
	last string
}

// separator ends an event.
var separator = []byte("\n\n")

// add takes received bytes and returns the whole events that they complete.
func (s *events) add(data []byte) []byte {
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial, separator)
	if end < 0 {
		return nil
	}
	end += len(separator)
	whole := bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	if id, ok := lastID(whole); ok {
		s.last = id
	}
	return whole
}

// rest returns and forgets the bytes of an event that was not completed.
func (s *events) rest() []byte {
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

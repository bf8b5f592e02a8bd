package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"
)

// errLineTooLong is returned for an event that exceeds the read buffer.
var errLineTooLong = errors.New("event line exceeds 64 KiB")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 64<<10) }}

// chunk is the part of a completion object that the check needs.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (c *chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

// stream reads the events of one streamed answer.
type stream struct {
	text     strings.Builder
	id       string // of the event whose data is still to come
	sequence int    // of the last event whose data arrived
	broken   result // set when event ids are missing, repeat or leave a gap
	onText   func(at time.Time)
}

// read consumes the stream; done reports whether it ended with [DONE].
func (s *stream) read(body io.Reader) (failure *result, done bool, err error) {
	r := readers.Get().(*bufio.Reader)
	r.Reset(io.LimitReader(body, replyLimit))
	defer func() { r.Reset(nil); readers.Put(r) }()
	for {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return nil, false, nil // a regular end, which without [DONE] looks like a whole answer
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, false, errLineTooLong
		case err != nil:
			return nil, false, err
		}
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			s.id = string(value)
		case "data":
			if string(value) == "[DONE]" {
				return nil, true, nil
			}
			if failure, err := s.event(value); failure != nil || err != nil {
				return failure, false, err
			}
		}
	}
}

// event handles one data line: a chunk of text or an error.
func (s *stream) event(data []byte) (*result, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	if len(c.Choices) == 0 {
		if r, ok := errorBody(data); ok {
			return &r, nil
		}
	}
	s.checkID()
	if text := c.text(); text != "" {
		s.onText(time.Now())
		s.text.WriteString(text)
	}
	return nil, nil
}

// checkID expects event ids from 1 without gaps.
func (s *stream) checkID() {
	n, err := strconv.Atoi(s.id)
	s.id = ""
	s.sequence++
	switch {
	case err != nil:
		s.broken = result{status: statusFailed, kind: "event-without-id"}
	case n < s.sequence:
		s.broken = result{status: statusForeign}
	case n > s.sequence:
		s.broken = result{status: statusPartial}
	}
}

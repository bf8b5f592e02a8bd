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

// errLineTooLong is returned for an event line that exceeds the read buffer.
var errLineTooLong = errors.New("event line exceeds 64 KiB")

// readerPool holds read buffers of 64 KiB, the longest event line that is accepted.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 64<<10) }}

// chunk contains the checked fields of a completion object.
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
	text            strings.Builder
	id              string // id of the event whose data has not arrived yet
	sequence        int    // number of events whose data has arrived
	sequenceFailure result // set if an event id is missing, repeated or skipped
	onText          func(at time.Time)
}

// read reads events until the stream ends, an error event arrives (failure) or reading fails (err); done reports
// whether the stream ended with [DONE].
func (s *stream) read(body io.Reader) (failure *result, done bool, err error) {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(io.LimitReader(body, replyLimit))
	defer func() { r.Reset(nil); readerPool.Put(r) }()
	for {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return nil, false, nil // a regular end of the body; without [DONE] the answer is partial
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

// event processes one data line: a chunk of text or an error.
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

// checkID checks that event ids count up from 1 without gaps.
func (s *stream) checkID() {
	n, err := strconv.Atoi(s.id)
	s.id = ""
	s.sequence++
	switch {
	case err != nil:
		s.sequenceFailure = result{status: statusFailed, kind: "event-without-id"}
	case n < s.sequence:
		s.sequenceFailure = result{status: statusForeign}
	case n > s.sequence:
		s.sequenceFailure = result{status: statusPartial}
	}
}

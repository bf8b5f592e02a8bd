package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var (
	doneData    = []byte("[DONE]")
	errorPrefix = []byte(`{"error"`)
)

// drainTimeout limits the wait for the end of a response after its last frame.
const drainTimeout = 50 * time.Millisecond

// Stream is the response stream of a prompt. It must be read by one goroutine at a time.
type Stream struct {
	id                   StreamID
	address              string
	reader               *eventReader
	body                 io.ReadCloser
	lastSequence         int
	done                 bool
	closed               bool
	failure              error
	idle                 time.Duration
	timer                *time.Timer
	stalled              atomic.Bool
	cancel               context.CancelFunc
	ctx                  context.Context
	parent               context.Context // the context of Open or Resume, from which ctx derives
	closeIdleConnections func()
}

func newStream(parent, ctx context.Context, cancel context.CancelFunc, c *Client, address string, id StreamID, after int, r *http.Response) *Stream {
	s := &Stream{
		id: id, address: address, reader: newEventReader(r.Body, c.config.maxLineBytes), body: r.Body, lastSequence: after,
		idle: c.config.idleTimeout.Duration(), cancel: cancel, ctx: ctx, parent: parent, closeIdleConnections: c.pooled.CloseIdleConnections,
	}
	s.timer = time.AfterFunc(s.idle, s.onIdleTimeout)
	s.timer.Stop()
	return s
}

// onIdleTimeout marks the stream as stalled and closes its connection.
func (s *Stream) onIdleTimeout() {
	s.stalled.Store(true)
	s.cancel()
}

// ID returns the stream id.
func (s *Stream) ID() StreamID { return s.id }

// Last returns the number of the last frame that Next returned.
func (s *Stream) Last() int { return s.lastSequence }

// Next returns the next frame in order and drops duplicates. After the frame with Done set it returns io.EOF. Any other
// error is a *StreamError and final; the remaining frames can be read only with Client.Resume. When ctx ends, the
// connection is closed but the engine keeps the stream.
func (s *Stream) Next(ctx context.Context) (Frame, error) {
	if s.failure != nil {
		return Frame{}, s.failure
	}
	if s.done {
		return Frame{}, io.EOF
	}
	if ctx != s.parent && ctx.Done() != nil {
		stop := context.AfterFunc(ctx, s.cancel)
		defer stop()
	}
	s.timer.Reset(s.idle)
	f, err := s.read(ctx)
	s.timer.Stop()
	if err != nil {
		s.failure = err
		s.Close()
	}
	return f, err
}

// Close ends the reading; the engine keeps the stream until it ends or is cancelled. The connection is reused after the
// last frame and otherwise closed.
func (s *Stream) Close() {
	if s.done && !s.closed {
		// The end of the response directly follows the last frame. Reading it returns the connection to the pool.
		s.timer.Reset(drainTimeout)
		_, _ = io.CopyN(io.Discard, s.body, 1024)
	}
	s.closed = true
	s.timer.Stop()
	s.cancel()
	s.body.Close()
}

func (s *Stream) read(ctx context.Context) (Frame, error) {
	for {
		e, err := s.reader.next()
		if err != nil {
			return Frame{}, s.readError(ctx, err)
		}
		if e.comment {
			if string(e.data) == "waiting" {
				return Frame{Waiting: true}, nil
			}
			continue
		}
		sequence, err := s.parseEventID(e.id)
		if err != nil {
			return Frame{}, err
		}
		if sequence <= s.lastSequence {
			continue
		}
		s.lastSequence = sequence
		if bytes.HasPrefix(e.data, errorPrefix) {
			return Frame{}, s.fail(ReasonFailed, string(e.data), nil)
		}
		if bytes.Equal(e.data, doneData) {
			s.done = true
		}
		return Frame{Sequence: sequence, Data: e.data, Done: s.done}, nil
	}
}

// parseEventID returns the number in an event id of the form STREAM-ID/N and checks that it belongs to the stream and
// leaves no gap.
func (s *Stream) parseEventID(id []byte) (int, error) {
	i := bytes.LastIndexByte(id, '/')
	if i < 0 {
		return 0, s.fail(ReasonMalformed, "event id "+strconv.Quote(string(id)), nil)
	}
	if string(id[:i]) != string(s.id) {
		return 0, s.fail(ReasonForeign, "event id "+strconv.Quote(string(id)), nil)
	}
	n, err := strconv.Atoi(string(id[i+1:]))
	if err != nil || n < 1 {
		return 0, s.fail(ReasonMalformed, "event id "+strconv.Quote(string(id)), nil)
	}
	if n > s.lastSequence+1 {
		return 0, s.fail(ReasonGap, "event "+strconv.Itoa(n)+" follows "+strconv.Itoa(s.lastSequence), nil)
	}
	return n, nil
}

func (s *Stream) readError(ctx context.Context, err error) error {
	switch {
	case s.stalled.Load():
		// Other pooled connections may be stalled, too.
		s.closeIdleConnections()
		return s.fail(ReasonStalled, "no data received within the idle timeout", nil)
	case ctx.Err() != nil:
		return s.fail(ReasonCanceled, "", context.Cause(ctx))
	case s.ctx.Err() != nil:
		return s.fail(ReasonCanceled, "", context.Cause(s.ctx))
	case errors.Is(err, errLineTooLong):
		return s.fail(ReasonMalformed, "", err)
	case errors.Is(err, io.EOF):
		return s.fail(ReasonTruncated, "response ended before [DONE]", nil)
	}
	return s.fail(ReasonTruncated, "connection broke before [DONE]", err)
}

func (s *Stream) fail(reason Reason, detail string, cause error) error {
	return &StreamError{Reason: reason, Address: s.address, Stream: s.id, Sent: true, Detail: detail, Cause: cause}
}

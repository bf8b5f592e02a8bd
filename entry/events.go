package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
)

// eventWriter writes server-sent events to a caller. Every write has a deadline, so that a caller that stops reading
// does not hold the request indefinitely.
type eventWriter struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	stallTimeout clock.Millis
	deadline     time.Time
	headerSent   bool
	buffer       []byte
}

func newEventWriter(w http.ResponseWriter, stallTimeout clock.Millis, deadline time.Time) *eventWriter {
	return &eventWriter{writer: w, control: http.NewResponseController(w), stallTimeout: stallTimeout, deadline: deadline}
}

// writeHeader sends the response headers once.
func (e *eventWriter) writeHeader() {
	if e.headerSent {
		return
	}
	e.headerSent = true
	h := e.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	e.writer.WriteHeader(http.StatusOK)
}

// writeEvent sends one event with its id and flushes it.
func (e *eventWriter) writeEvent(id int, data []byte) error {
	e.writeHeader()
	if err := setWriteDeadline(e.control, e.stallTimeout, e.deadline); err != nil {
		return err
	}
	e.buffer = append(e.buffer[:0], "id: "...)
	e.buffer = strconv.AppendInt(e.buffer, int64(id), 10)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
	if _, err := e.writer.Write(e.buffer); err != nil {
		return err
	}
	return e.control.Flush()
}

// setWriteDeadline sets the deadline of the next writes: the stall timeout from now, but not after requestDeadline.
func setWriteDeadline(control *http.ResponseController, stallTimeout clock.Millis, requestDeadline time.Time) error {
	deadline := time.Now().Add(stallTimeout.Duration())
	if deadline.After(requestDeadline) {
		deadline = requestDeadline
	}
	if err := control.SetWriteDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// writeErrorEvent ends the stream with an error event. It may take errorGrace from now, even after the request's deadline.
func (e *eventWriter) writeErrorEvent(data []byte) error {
	e.deadline = time.Now().Add(errorGrace)
	if err := setWriteDeadline(e.control, e.stallTimeout, e.deadline); err != nil {
		return err
	}
	e.buffer = append(e.buffer[:0], "data: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
	if _, err := e.writer.Write(e.buffer); err != nil {
		return err
	}
	return e.control.Flush()
}

package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
)

// eventWriter writes server-sent events to a caller. Every write has a deadline, so that a caller that stops reading
// does not hold the request beyond it.
type eventWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	stall   clock.Millis
	limit   time.Time
	begun   bool
	buffer  []byte
}

func newEventWriter(w http.ResponseWriter, stall clock.Millis, limit time.Time) *eventWriter {
	return &eventWriter{writer: w, control: http.NewResponseController(w), stall: stall, limit: limit}
}

// begin sends the response headers.
func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	h := e.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	e.writer.WriteHeader(http.StatusOK)
}

// event sends one event with its id and flushes it.
func (e *eventWriter) event(id int, data []byte) error {
	e.begin()
	if err := setWriteDeadline(e.control, e.stall, e.limit); err != nil {
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

// setWriteDeadline bounds the next writes by the stall limit and by the end of the request.
func setWriteDeadline(control *http.ResponseController, stall clock.Millis, limit time.Time) error {
	due := time.Now().Add(stall.Duration())
	if due.After(limit) {
		due = limit
	}
	if err := control.SetWriteDeadline(due); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// fail ends the stream with an error event. It allows some time after the request's limit for that.
func (e *eventWriter) fail(data []byte) error {
	e.limit = time.Now().Add(errorGrace)
	if err := setWriteDeadline(e.control, e.stall, e.limit); err != nil {
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

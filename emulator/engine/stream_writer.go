package engine

import (
	"fmt"
	"net/http"
)

// streamWriter writes the events of a response and applies its frame faults.
type streamWriter struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	id         string
	faults     frameFaults
	frameCount int
	// reordered is the frame that the reorder fault sends after its successor.
	reordered       []byte
	reorderedNumber int
}

func newStreamWriter(w http.ResponseWriter, id string, f frameFaults) *streamWriter {
	return &streamWriter{w: w, control: http.NewResponseController(w), id: id, faults: f}
}

// frame writes one frame and reports whether the response continues.
func (o *streamWriter) frame(n int, data []byte) bool {
	o.frameCount++
	if o.frameCount == 2 {
		if o.faults.foreign {
			o.event(o.id+"-other", n, []byte(`{"choices":[{"index":0,"text":" foreign"}]}`))
		}
		if o.faults.drop {
			return true
		}
		if o.faults.reorder {
			o.reordered, o.reorderedNumber = data, n
			return true
		}
		if o.faults.duplicate {
			o.event(o.id, n, data)
		}
	}
	if o.frameCount == 3 && o.faults.truncate {
		return false
	}
	if o.frameCount == 3 && o.faults.breakConnection {
		o.flush()
		panic(http.ErrAbortHandler)
	}
	o.event(o.id, n, data)
	if o.reordered != nil {
		o.event(o.id, o.reorderedNumber, o.reordered)
		o.reordered = nil
	}
	return true
}

func (o *streamWriter) event(id string, n int, data []byte) {
	fmt.Fprintf(o.w, "id: %s/%d\ndata: %s\n\n", id, n, data)
}

func (o *streamWriter) comment(text string) {
	fmt.Fprintf(o.w, ": %s\n\n", text)
	o.flush()
}

func (o *streamWriter) flush() { _ = o.control.Flush() }

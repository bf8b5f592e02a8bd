package engine

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	eventStored  = "stored"
	eventRemoved = "removed"
	// maxEvents is the maximum number of published events kept; readers that are further behind see a gap.
	maxEvents = 8192
)

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	Sequence uint64       `json:"sequence"`
	Event    string       `json:"event"`
	Model    string       `json:"model"`
	Blocks   []string     `json:"blocks"`
	due      clock.Millis // time from which readers see the event
}

// eventLog holds the published cache events and those pending until the next call of publish.
type eventLog struct {
	pending   []cacheEvent
	published []cacheEvent
	sequence  uint64
	changed   chan struct{}
}

// add appends a pending event unless blocks is empty.
func (l *eventLog) add(kind, model string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	ev := cacheEvent{Event: kind, Model: model}
	for _, h := range blocks {
		ev.Blocks = append(ev.Blocks, formatHash(h))
	}
	l.pending = append(l.pending, ev)
}

// publish numbers the pending events and those of evicted blocks and makes them visible after Faults.EventDelay,
// except for the fraction that Faults.EventLoss drops.
func (b *boot) publish(e *Engine, now clock.Millis) {
	l := &b.events
	var removed []uint64
	for i, x := range b.kvMemory.evicted {
		removed = append(removed, x.hash)
		if i+1 == len(b.kvMemory.evicted) || b.kvMemory.evicted[i+1].model != x.model {
			l.add(eventRemoved, x.model, removed)
			removed = nil
		}
	}
	b.kvMemory.evicted = nil
	if len(l.pending) == 0 {
		return
	}
	for _, ev := range l.pending {
		l.sequence++
		ev.Sequence, ev.due = l.sequence, now+e.faults.EventDelay
		if e.faults.EventLoss <= 0 || e.random.Float64() >= e.faults.EventLoss {
			l.published = append(l.published, ev)
		}
	}
	l.pending = nil
	if n := len(l.published) - maxEvents; n > 0 {
		l.published = append([]cacheEvent(nil), l.published[n:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns the events after a sequence number that are due, the time until the next published one is due (0 if
// there is none), and a channel that is closed when more are published.
func (l *eventLog) after(sequence uint64, now clock.Millis) (due []cacheEvent, wait clock.Millis, changed <-chan struct{}) {
	for _, ev := range l.published {
		if ev.Sequence <= sequence {
			continue
		}
		if ev.due > now {
			return due, ev.due - now, l.changed
		}
		due = append(due, ev)
	}
	return due, 0, l.changed
}

func (e *Engine) getEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if v := r.URL.Query().Get("after"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		after = n
	}
	e.mutex.Lock()
	b := e.boot
	e.mutex.Unlock()
	stalled := e.connections.Stalled(r)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for {
		_ = control.Flush()
		e.mutex.Lock()
		due, wait, changed := b.events.after(after, e.config.clock.Now())
		e.mutex.Unlock()
		for _, ev := range due {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", ev.Sequence, mustMarshal(ev))
			after = ev.Sequence
		}
		_ = control.Flush()
		if wait == 0 {
			wait = clock.Hour
		}
		timer, stop := e.config.clock.After(wait)
		select {
		case <-changed:
		case <-timer:
		case <-stalled:
			e.stall(r, b.stopped)
		case <-b.stopped:
			panic(http.ErrAbortHandler)
		case <-e.closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			stop()
			return
		}
		stop()
	}
}

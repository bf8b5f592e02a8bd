package engine

import (
	"fmt"
	"net/http"
	"strconv"
)

// sendStream writes the frames of s with numbers above after as server-sent events until the stream ends.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, s *sequence, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Stream-Id", s.id)
	w.WriteHeader(http.StatusOK)
	o := newStreamWriter(w, s.id, e.takeFrameFaults())
	o.flush()
	stalled := e.connections.Stalled(r)
	timer, stop := e.config.clock.After(e.config.waitingInterval)
	defer func() { stop() }()
	for {
		e.mutex.Lock()
		availableFrames, p, failure, cachedTokens, changed := s.availableFrames(), s.phase, s.failure, int(s.cachedTokens), s.changed
		e.mutex.Unlock()
		select {
		case <-stalled:
			e.stall(r, s.stopped)
		case <-s.stopped:
			panic(http.ErrAbortHandler)
		default:
		}
		for ; after < availableFrames; after++ {
			data := s.prompt.frame(after+1, cachedTokens)
			if p == phaseFailed && after+1 == availableFrames {
				data = []byte(`{"error":{"message":` + strconv.Quote(failure) + `,"type":"engine"}}`)
			}
			if !o.frame(after+1, data) {
				return
			}
		}
		o.flush()
		switch p {
		case phaseDone, phaseFailed:
			return
		case phaseCancelled:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-timer:
			if p == phaseWaiting || p == phasePrefill {
				o.comment("waiting")
			}
			timer, stop = e.config.clock.After(e.config.waitingInterval)
		case <-stalled:
		case <-s.stopped:
		case <-e.closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// sendResponse waits until s has ended and writes the response as one JSON object.
func (e *Engine) sendResponse(w http.ResponseWriter, r *http.Request, s *sequence) {
	stalled := e.connections.Stalled(r)
	for {
		e.mutex.Lock()
		p, failure, cachedTokens, changed := s.phase, s.failure, int(s.cachedTokens), s.changed
		e.mutex.Unlock()
		switch p {
		case phaseDone:
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Stream-Id", s.id)
			_, _ = w.Write(s.prompt.response(cachedTokens))
			return
		case phaseFailed:
			http.Error(w, failure, http.StatusGatewayTimeout)
			return
		case phaseCancelled:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-stalled:
			e.stall(r, s.stopped)
		case <-s.stopped:
			panic(http.ErrAbortHandler)
		case <-e.closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	after := 0
	if v := r.Header.Get("Last-Event-ID"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			http.Error(w, fmt.Sprintf("header Last-Event-ID: %q is not an event number", v), http.StatusBadRequest)
			return
		}
		after = n
	}
	e.mutex.Lock()
	s := e.boot.sequences[r.PathValue("id")]
	known := s != nil && s.phase != phaseCancelled
	e.mutex.Unlock()
	if !known {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	e.sendStream(w, r, s, after)
}

func (e *Engine) deleteStream(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mutex.Lock()
	b, now := e.boot, e.config.clock.Now()
	if s := b.sequences[id]; s != nil {
		if r.Header.Get("If-Unread") == "true" && s.readers > 0 {
			e.mutex.Unlock()
			http.Error(w, "the stream is being read", http.StatusConflict)
			return
		}
		b.finish(s, phaseCancelled, now)
		b.removeEnded()
		b.recordLoad(now, e.faults.LoadLag)
	}
	// A prompt that arrives after its cancellation is a duplicate and must not run.
	b.usedIDs[id] = struct{}{}
	e.signal()
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) leaveStream(s *sequence) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.readers--
}

package engine

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// maxPromptBytes is the maximum size of a request body in bytes. A prompt of 1,000,000 tokens has about 4 MB.
const maxPromptBytes = 64 << 20

func (e *Engine) postCompletions(w http.ResponseWriter, r *http.Request) { e.submit(w, r, false) }

func (e *Engine) postChatCompletions(w http.ResponseWriter, r *http.Request) { e.submit(w, r, true) }

func (e *Engine) submit(w http.ResponseWriter, r *http.Request, chat bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPromptBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, err := e.newSequence(r.Header, data, chat)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if members := r.Header.Get("Group"); members != "" {
		if err = e.addGroupReservations(r.Context(), s, members); err != nil {
			refuse(w, http.StatusInsufficientStorage, err.Error())
			return
		}
	}
	dropReply, status, text := e.accept(s, r.Header.Get("Reservation"))
	switch {
	case status == http.StatusConflict:
		http.Error(w, text, status)
	case status != 0:
		refuse(w, status, text)
	case dropReply:
		panic(http.ErrAbortHandler)
	case s.prompt.stream:
		e.sendStream(w, r, s, 0)
	default:
		e.sendResponse(w, r, s)
	}
}

func (e *Engine) newSequence(header http.Header, data []byte, chat bool) (*sequence, error) {
	p, err := parsePrompt(data, chat)
	if err != nil {
		return nil, err
	}
	now := e.config.clock.Now()
	s := &sequence{id: header.Get("Request-Id"), prompt: p, engineCount: 1, phase: phaseWaiting, changed: make(chan struct{})}
	if s.id == "" {
		return nil, fmt.Errorf("header Request-Id is missing")
	}
	if v := header.Get("Priority"); v != "" {
		if s.priority, err = strconv.Atoi(v); err != nil {
			return nil, fmt.Errorf("header Priority: %w", err)
		}
	}
	if v := header.Get("Deadline-Ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("header Deadline-Ms: %w", err)
		}
		s.deadline = now + clock.Millis(ms)
	}
	s.promptTokens = poplarwinch.Tokens((len(p.text) + e.config.bytesPerToken - 1) / e.config.bytesPerToken)
	s.hashes = hashBlocks(p.model, p.adapter, p.rawJSON)
	p.digest = formatHash(xxhash.Sum64String(p.text))
	p.id, p.tokens, p.created = s.id, int(s.promptTokens), int64(now/clock.Second)
	return s, nil
}

// accept queues a sequence for the scheduler, or returns the status and text of the rejection. dropReply is set if a
// fault drops the reply.
func (e *Engine) accept(s *sequence, reservationID string) (dropReply bool, status int, text string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	b, now := e.boot, e.config.clock.Now()
	if b.isStopped {
		panic(http.ErrAbortHandler)
	}
	b.finishLoads(now)
	if _, ok := b.usedIDs[s.id]; ok {
		return false, http.StatusConflict, "stream id already used"
	}
	if status, text = e.checkAdmission(s, reservationID); status != 0 {
		e.record.Refused++
		return false, status, text
	}
	s.stopped = b.stopped
	b.usedIDs[s.id] = struct{}{}
	b.sequences[s.id] = s
	b.waiting = append(b.waiting, s)
	b.arrivals++
	s.arrival = b.arrivals
	s.run = e.record.add(Run{
		Stream: s.id, Boot: b.id, Model: s.prompt.model, Adapter: s.prompt.adapter, Priority: s.priority,
		Prompt: s.prompt.digest, Tokens: s.promptTokens,
		Leaving: e.faults.Leaving, Accepted: now,
	})
	b.recordLoad(now, e.faults.LoadLag)
	e.signal()
	return e.faults.DropReply.Take(), 0, ""
}

func (e *Engine) checkAdmission(s *sequence, reservationID string) (int, string) {
	b := e.boot
	if e.faults.Refuse.Take() {
		return http.StatusServiceUnavailable, "refused by an injected fault"
	}
	if m := b.model(s.prompt.model); m == nil || !m.has(s.prompt.adapter) {
		return http.StatusServiceUnavailable, "model or adapter not loaded"
	}
	if len(b.waiting) >= e.config.maxWaiting {
		return http.StatusServiceUnavailable, "too many waiting requests"
	}
	if reservationID != "" {
		if s.reserved = b.reservations[reservationID]; s.reserved == nil {
			return http.StatusInsufficientStorage, "unknown reservation"
		}
	}
	if s.requiredTokens() > e.config.kvCapacity {
		return http.StatusInsufficientStorage, "the prompt exceeds the KV memory of this engine and its group"
	}
	return 0, ""
}

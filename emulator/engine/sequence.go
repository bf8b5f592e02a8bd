package engine

import (
	"strings"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// The phases of a sequence.
const (
	phaseWaiting   phase = "waiting"
	phasePrefill   phase = "prefill"
	phaseDecode    phase = "decode"
	phaseDone      phase = "done"
	phaseFailed    phase = "failed"
	phaseCancelled phase = "cancelled"
)

type phase string

func (p phase) ended() bool { return p == phaseDone || p == phaseFailed || p == phaseCancelled }

// sequence is a prompt and its generated tokens. The prompt and the first block of fields except readers do not change
// after the sequence is accepted, apart from the prompt's text, which is dropped when the sequence ends. The other
// fields and readers are guarded by Engine.mutex.
type sequence struct {
	// readers is the number of responses that are sending the stream. Nothing increments it, so If-Unread has no effect.
	readers      int
	id           string
	prompt       *prompt
	priority     int
	arrival      int
	deadline     clock.Millis // 0 for none
	promptTokens poplarwinch.Tokens
	remoteTokens poplarwinch.Tokens // KV memory reserved on the other engines of the group
	engineCount  poplarwinch.Tokens // number of engines that run the sequence
	hashes       []uint64
	reserved     *reservation
	run          *Run
	stopped      <-chan struct{} // closed when the boot that runs the sequence stops

	phase            phase
	failure          string
	prefillRemaining poplarwinch.Tokens
	generatedTokens  int
	cachedTokens     poplarwinch.Tokens
	allocated        poplarwinch.Tokens
	fromReservation  poplarwinch.Tokens
	pinned           []*block
	ended            clock.Millis
	changed          chan struct{}
}

// requiredTokens returns the KV memory that the prompt and its answer take on this engine without cache hits.
func (s *sequence) requiredTokens() poplarwinch.Tokens {
	return max(0, s.promptTokens+poplarwinch.Tokens(s.prompt.maxTokens)-s.remoteTokens)
}

// availableFrames returns the number of frames that can be sent.
func (s *sequence) availableFrames() int {
	if s.generatedTokens == 0 && s.phase != phaseFailed {
		return 0
	}
	n := s.prompt.framesForTokens(s.generatedTokens)
	switch s.phase {
	case phaseDone:
		n += s.prompt.closingFrames()
	case phaseFailed:
		n++
	}
	return n
}

// broadcast wakes all responses that wait for a change of the sequence.
func (s *sequence) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// contains reports whether the prompt contains the marker; an empty marker matches nothing.
func (s *sequence) contains(marker string) bool {
	return marker != "" && strings.Contains(s.prompt.text, marker)
}

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

// sequence is one prompt and its answer. The prompt and the first block of fields do not change once it is
// accepted, but for the prompt's text, which is dropped at the end; the engine's mutex guards the others.
type sequence struct {
	// readers counts the responses that carry the stream.
	readers  int
	id       string
	prompt   *prompt
	priority int
	order    int
	deadline clock.Millis // 0 for none
	tokens   poplarwinch.Tokens
	remote   poplarwinch.Tokens // KV memory that the group's other engines hold
	engines  poplarwinch.Tokens // number of engines that run it
	hashes   []uint64
	reserved *reservation
	run      *Run
	down     <-chan struct{} // closed at the end of the boot that runs it

	phase       phase
	failure     string
	prefillLeft poplarwinch.Tokens
	generated   int
	hit         poplarwinch.Tokens
	held        poplarwinch.Tokens
	borrowed    poplarwinch.Tokens
	pins        []*block
	ended       clock.Millis
	changed     chan struct{}
}

// need is the KV memory on this engine for the prompt and its answer without cache hits.
func (s *sequence) need() poplarwinch.Tokens {
	return max(0, s.tokens+poplarwinch.Tokens(s.prompt.maxTokens)-s.remote)
}

// available is the number of frames that can be sent.
func (s *sequence) available() int {
	if s.generated == 0 && s.phase != phaseFailed {
		return 0
	}
	n := s.prompt.tokenFrames(s.generated)
	switch s.phase {
	case phaseDone:
		n += s.prompt.closingFrames()
	case phaseFailed:
		n++
	}
	return n
}

// broadcast wakes all readers.
func (s *sequence) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// contains says whether the prompt contains the marker; an empty marker matches nothing.
func (s *sequence) contains(marker string) bool {
	return marker != "" && strings.Contains(s.prompt.text, marker)
}

package upstream

import "sync/atomic"

const (
	ticketPrefill = iota
	ticketDecode
	ticketEnded
)

// Ticket tracks one request in flight on an upstream in the upstream's counters. Its methods are idempotent and safe for
// concurrent use.
type Ticket struct {
	upstream *Upstream
	tokens   int64
	prefill  *prefillCounters
	epoch    int64
	phase    atomic.Int32
}

// FirstToken records the end of the prompt's prefill.
func (t *Ticket) FirstToken() {
	if t.phase.CompareAndSwap(ticketPrefill, ticketDecode) {
		t.endPrefill()
	}
}

// End records the end of the request on the upstream.
func (t *Ticket) End() {
	switch t.phase.Swap(ticketEnded) {
	case ticketPrefill:
		t.endPrefill()
	case ticketEnded:
		return
	}
	t.upstream.decrement("running-requests", &t.upstream.running, 1)
}

func (t *Ticket) endPrefill() {
	u, tokens := t.upstream, t.tokens
	u.decrement("prompts-in-prefill", &t.prefill.prompts, 1)
	u.decrement("tokens-in-prefill", &t.prefill.tokens, tokens)
	if t.prefill.sent.Remove(t.epoch, tokens) {
		u.decrement("pending-prefill", &t.prefill.pending, tokens)
	}
}

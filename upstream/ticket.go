package upstream

import "sync/atomic"

const (
	ticketPrefill = iota
	ticketDecode
	ticketEnded
)

// Ticket accounts for one request in flight on an upstream. Its methods may be called repeatedly and concurrently.
type Ticket struct {
	upstream *Upstream
	tokens   int64
	prefill  *prefillWork
	epoch    int64
	phase    atomic.Int32
}

// FirstToken records that the prompt's prefill is complete.
func (t *Ticket) FirstToken() {
	if t.phase.CompareAndSwap(ticketPrefill, ticketDecode) {
		t.endPrefill()
	}
}

// End records that the request no longer runs on the upstream.
func (t *Ticket) End() {
	switch t.phase.Swap(ticketEnded) {
	case ticketPrefill:
		t.endPrefill()
	case ticketEnded:
		return
	}
	t.upstream.subtract("running-requests", &t.upstream.running, 1)
}

func (t *Ticket) endPrefill() {
	u, tokens := t.upstream, t.tokens
	u.subtract("prompts-in-prefill", &t.prefill.prompts, 1)
	u.subtract("tokens-in-prefill", &t.prefill.tokens, tokens)
	if t.prefill.sent.Remove(t.epoch, tokens) {
		u.subtract("pending-prefill", &t.prefill.pending, tokens)
	}
}

// Package upstream tracks the state, load and requests in flight of the known engines and service servers.
package upstream

import (
	"fmt"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/invariant"
	"github.com/poplarwinch/poplarwinch/internal/window"
)

const (
	// pendingBucketWidth is the time span of one bucket of pending prefill tokens.
	pendingBucketWidth clock.Millis = 100
	// pendingBuckets is the number of buckets, for 12.8 s in total. Tokens sent earlier than that stop being pending even
	// without a load report or first token, so that such an engine is judged by its last report alone.
	pendingBuckets = 128
)

// Upstream is one engine or service server. The exported fields never change; state, load and counters are atomics.
type Upstream struct {
	ID            poplarwinch.UpstreamID
	Kind          Kind
	Pool          string
	Address       string
	FailureDomain poplarwinch.FailureDomain
	// Number identifies the upstream in compact indexes of this instance.
	Number uint16
	// Hash is the hash of the id for rendezvous hashing; it is the same in every instance.
	Hash uint64

	clock    *clock.Clock
	violated invariant.Report
	state    atomic.Uint32
	// stateChangedAtMillis is the time of the last change of state.
	stateChangedAtMillis atomic.Int64
	load                 atomic.Pointer[Load]
	peerPrefill          atomic.Pointer[Prefill]
	running              atomic.Int64
	prefill              [Priorities]prefillCounters
}

func newUpstream(l Listed, number uint16, c *clock.Clock, violated invariant.Report) *Upstream {
	u := &Upstream{
		ID: l.ID, Kind: l.Kind, Pool: l.Pool, Address: l.Address, FailureDomain: l.FailureDomain,
		Number: number, Hash: xxhash.Sum64String(string(l.ID)),
		clock: c, violated: violated,
	}
	for i := range u.prefill {
		u.prefill[i].sent = window.New(pendingBucketWidth, pendingBuckets)
	}
	u.load.Store(&Load{})
	u.peerPrefill.Store(&Prefill{})
	return u
}

// matches reports whether u has the kind, pool, address and failure domain of the list entry.
func (u *Upstream) matches(l Listed) bool {
	return u != nil && u.Kind == l.Kind && u.Pool == l.Pool && u.Address == l.Address && u.FailureDomain == l.FailureDomain
}

// State returns the current state.
func (u *Upstream) State() State { return stateOf(u.state.Load()) }

// Selectable reports whether the upstream may receive new work.
func (u *Upstream) Selectable() bool { return u.state.Load() == 0 }

// SelectableSince reports whether the upstream was selectable at the time t or later.
func (u *Upstream) SelectableSince(t clock.Millis) bool {
	return u.Selectable() || clock.Millis(u.stateChangedAtMillis.Load()) >= t
}

func (u *Upstream) setState(s State) {
	if next := s.severity(); next != u.state.Load() {
		u.stateChangedAtMillis.Store(int64(u.clock.Now()))
		u.state.Store(next)
	}
}

// Load returns the last load report, whose At is zero if there is none. The result must not be modified.
func (u *Upstream) Load() *Load { return u.load.Load() }

// Running returns the number of this instance's requests in flight.
func (u *Upstream) Running() int64 { return u.running.Load() }

// Prefill returns the prompts in prefill that this instance sent or that its peers announced.
func (u *Upstream) Prefill() Prefill {
	p := u.ownPrefill()
	p.add(u.peerPrefill.Load(), true)
	return p
}

// LongPrefills returns the number of long prompts in prefill that this instance sent or that its peers announced.
func (u *Upstream) LongPrefills() int64 {
	return u.prefill[Priorities-1].prompts.Load() + u.peerPrefill.Load().Prompts[Priorities-1]
}

func (u *Upstream) ownPrefill() Prefill {
	var p Prefill
	for i := range u.prefill {
		w := &u.prefill[i]
		p.Pending[i] = poplarwinch.Tokens(w.pending.Load())
		p.Tokens[i] = poplarwinch.Tokens(w.tokens.Load())
		p.Prompts[i] = w.prompts.Load()
	}
	return p
}

// Begin counts a request that is sent to the upstream. The caller must end the ticket.
func (u *Upstream) Begin(w Work) *Ticket {
	t := &Ticket{upstream: u, tokens: int64(w.Prefill), prefill: &u.prefill[min(max(w.Priority, 0), Priorities-1)]}
	u.running.Add(1)
	t.epoch = t.prefill.begin(u.clock.Now(), t.tokens)
	return t
}

// updateLoad installs a newer load report and removes the pending tokens of this instance that the report includes.
func (u *Upstream) updateLoad(l Load) {
	if l.At == 0 || l.At <= u.load.Load().At {
		return
	}
	u.load.Store(&l)
	now := u.clock.Now()
	for i := range u.prefill {
		u.decrement("pending-prefill", &u.prefill[i].pending, u.prefill[i].sent.Clear(now, l.At))
	}
}

// decrement subtracts amount from the counter and reports a violated invariant if the counter becomes negative.
func (u *Upstream) decrement(name string, counter *atomic.Int64, amount int64) {
	if amount == 0 {
		return
	}
	if remaining := counter.Add(-amount); remaining < 0 {
		u.violated("in-flight-counter-not-negative", fmt.Sprintf("%s of %s is %d", name, u.ID, remaining))
	}
}

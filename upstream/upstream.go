// Package upstream keeps the known engines and service servers with their state, load and work in flight.
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

// Own prefill work is kept for 12.8 s without a report or a first token; an engine that reports nothing for longer
// is judged by its last report alone.
const (
	pendingWidth   clock.Millis = 100
	pendingBuckets              = 128
)

// Upstream is one engine or service server. Its identity is constant; state, load and counters are atomics.
type Upstream struct {
	ID            poplarwinch.UpstreamID
	Kind          Kind
	Pool          string
	Address       string
	FailureDomain poplarwinch.FailureDomain
	// Number identifies the upstream in compact indexes of this process.
	Number uint16
	// Hash is the id's hash for rendezvous hashing; it is the same in every instance.
	Hash uint64

	clock        *clock.Clock
	violated     invariant.Report
	state        atomic.Uint32
	load         atomic.Pointer[Load]
	sent         *window.Counter
	pending      atomic.Int64
	running      atomic.Int64
	longPrefills atomic.Int64
	peers        atomic.Pointer[peerWork]
}

func newUpstream(l Listed, number uint16, c *clock.Clock, violated invariant.Report) *Upstream {
	u := &Upstream{
		ID: l.ID, Kind: l.Kind, Pool: l.Pool, Address: l.Address, FailureDomain: l.FailureDomain,
		Number: number, Hash: xxhash.Sum64String(string(l.ID)),
		clock: c, violated: violated, sent: window.New(pendingWidth, pendingBuckets),
	}
	u.load.Store(&Load{})
	u.peers.Store(&peerWork{})
	return u
}

// State returns the current state.
func (u *Upstream) State() State { return stateOf(u.state.Load()) }

// Selectable reports whether the upstream may receive new work.
func (u *Upstream) Selectable() bool { return u.state.Load() == 0 }

// Load returns the last load report; its At is zero when there is none. The result must not be changed.
func (u *Upstream) Load() *Load { return u.load.Load() }

// PendingPrefill returns the prefill tokens that this instance sent after the last report held and that have not
// produced a first token.
func (u *Upstream) PendingPrefill() poplarwinch.Tokens { return poplarwinch.Tokens(u.pending.Load()) }

// Running returns the number of this instance's requests in flight.
func (u *Upstream) Running() int64 { return u.running.Load() }

// LongPrefills returns the number of long prompts in prefill that this instance and its peers know of.
func (u *Upstream) LongPrefills() int64 { return u.longPrefills.Load() + u.peers.Load().longs }

// PeerPrefill returns the prefill tokens that peers announced and that the last report does not include.
func (u *Upstream) PeerPrefill() poplarwinch.Tokens { return u.peers.Load().prefill }

// Begin counts a request that is sent to the upstream; the ticket must be ended.
func (u *Upstream) Begin(w Work) *Ticket {
	t := &Ticket{upstream: u, work: w}
	u.running.Add(1)
	if w.Long {
		u.longPrefills.Add(1)
	}
	var expired int64
	u.pending.Add(int64(w.Prefill))
	t.epoch, expired = u.sent.Add(u.clock.Now(), int64(w.Prefill))
	u.pending.Add(-expired)
	return t
}

// report installs a newer load report and forgets own work that the report includes.
func (u *Upstream) report(l Load) {
	if l.At == 0 || l.At <= u.load.Load().At {
		return
	}
	u.load.Store(&l)
	u.subtract("pending-prefill", &u.pending, u.sent.Clear(u.clock.Now(), l.At))
}

func (u *Upstream) subtract(name string, counter *atomic.Int64, amount int64) {
	if amount == 0 {
		return
	}
	if left := counter.Add(-amount); left < 0 {
		u.violated("in-flight-counter-not-negative", fmt.Sprintf("%s of %s is %d", name, u.ID, left))
	}
}

package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Work is the load that one attempt puts on servers.
type Work struct {
	// First is the server that answers.
	First poplarwinch.UpstreamID
	// Helpers prefill parts of the prompt for the first server.
	Helpers []poplarwinch.UpstreamID
	// Prefill is the prefill time on each of these servers.
	Prefill clock.Millis
	// MaxPause is the longest pause between events that the request accepts; zero means no limit.
	MaxPause clock.Millis
	// Due is the time by which the prompt should be prefilled, on the fleet's clock.
	Due clock.Millis
	// Memory is the KV cache that the request occupies on the first server.
	Memory poplarwinch.Tokens
	// Shares is the KV cache that is reserved for the request on other servers.
	Shares map[poplarwinch.UpstreamID]poplarwinch.Tokens
}

// Ticket tracks the load of one attempt until End.
type Ticket struct {
	fleet      *Fleet
	work       Work
	prefilling bool
	ended      bool
	// distant says that some of the load is in another cell.
	distant bool
	// busy says that more than busySlotsFraction of the first server's slots were in use at Begin, or that it has a limit.
	busy bool
}

// FirstEvent records that the prompt has been prefilled.
func (t *Ticket) FirstEvent() {
	f := t.fleet
	f.mutex.Lock()
	if !t.prefilling {
		f.mutex.Unlock()
		return
	}
	t.prefilling = false
	f.endPrefill(t)
	if m := f.servers[t.work.First]; m != nil && m.isFirst(t) {
		m.own.Decoding++
	}
	f.mutex.Unlock()
	f.notifyChange(t.reach())
}

// Prefilled reports whether the first event has arrived.
func (t *Ticket) Prefilled() bool {
	t.fleet.mutex.Lock()
	defer t.fleet.mutex.Unlock()
	return !t.prefilling
}

// End removes the load of the attempt.
func (t *Ticket) End() {
	f := t.fleet
	f.mutex.Lock()
	if t.ended {
		f.mutex.Unlock()
		return
	}
	t.ended = true
	decoding := !t.prefilling
	if t.prefilling {
		t.prefilling = false
		f.endPrefill(t)
	}
	if m := f.servers[t.work.First]; m != nil {
		m.remove(t, decoding)
	}
	for id := range t.work.Shares {
		if m := f.servers[id]; m != nil {
			delete(m.shares, t)
		}
	}
	f.mutex.Unlock()
	f.notifyChange(t.reach())
}

// reach returns which instances have to be notified of a change of the load.
func (t *Ticket) reach() Reach {
	switch {
	case t.distant:
		return ReachDistant
	case t.busy:
		return ReachBusy
	}
	return ReachNear
}

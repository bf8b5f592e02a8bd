package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Work is what one request puts on servers.
type Work struct {
	// First is the server that answers.
	First poplarwinch.UpstreamID
	// Helpers read parts of the prompt for the first server.
	Helpers []poplarwinch.UpstreamID
	// Read is the time that each of these servers needs for its part.
	Read clock.Millis
	// MaxPause is the longest pause between events that the request accepts; zero when there is no limit.
	MaxPause clock.Millis
	// Due is the time by which the prompt should have been read, on the fleet's clock.
	Due clock.Millis
	// Memory is the KV cache that the request occupies on the first server.
	Memory poplarwinch.Tokens
	// Shares is the KV cache that is reserved for the request on other servers.
	Shares map[poplarwinch.UpstreamID]poplarwinch.Tokens
}

// Ticket accounts for the work of one attempt until End.
type Ticket struct {
	fleet   *Fleet
	work    Work
	reading bool
	ended   bool
	// distant says that some of the work is in another failure domain.
	distant bool
	// crowded says that the first server has few free slots.
	crowded bool
}

// FirstEvent records that the prompt has been read.
func (t *Ticket) FirstEvent() {
	f := t.fleet
	f.mutex.Lock()
	if !t.reading {
		f.mutex.Unlock()
		return
	}
	t.reading = false
	f.endRead(t)
	if m := f.servers[t.work.First]; m != nil && m.has(t) {
		m.own.Decoding++
	}
	f.mutex.Unlock()
	f.changed(t.reach())
}

// End records that the request no longer runs.
func (t *Ticket) End() {
	f := t.fleet
	f.mutex.Lock()
	if t.ended {
		f.mutex.Unlock()
		return
	}
	t.ended = true
	decoding := !t.reading
	if t.reading {
		t.reading = false
		f.endRead(t)
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
	f.changed(t.reach())
}

// reach returns who needs to know of the work.
func (t *Ticket) reach() Reach {
	switch {
	case t.distant:
		return ReachDistant
	case t.crowded:
		return ReachCrowded
	}
	return ReachNear
}

package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// record is the merged knowledge about one upstream id. It outlives the list entry, so that an id that was leaving
// stays leaving when a stale list names it again.
type record struct {
	id          poplarwinch.UpstreamID
	upstream    *Upstream
	listed      bool
	listedReady bool
	leaving     bool
	// alive means that the process answered and that its death has not been reported.
	alive bool
	seen  Observation
	// previousBoot rejects late observations of the process before the current one.
	previousBoot string
	touched      clock.Millis
	sequence     uint64
	told         Observation
	announced    map[poplarwinch.InstanceID]Announcement
}

// merge adds o and reports whether it was news and whether it reveals the death of the upstream's process.
func (e *record) merge(o Observation) (news, died bool) {
	if o.State == StateLeaving && !e.leaving {
		e.leaving, news = true, true
	}
	if o.BootID != "" && o.BootID == e.previousBoot {
		return news, false
	}
	if o.Load.At > e.seen.Load.At {
		e.seen.Load, news = o.Load, true
	}
	if o.At < e.seen.At || o.At == e.seen.At && o.State.severity() <= e.seen.State.severity() {
		return news, false
	}
	answered := !o.Refused && (o.State != StateDown || o.BootID != "")
	before := e.seen
	if o.BootID == "" {
		o.BootID = before.BootID
	}
	if o.Models == nil {
		o.Models = before.Models
	}
	o.Load = before.Load
	switch {
	case before.BootID != "" && o.BootID != before.BootID:
		died, e.alive = e.alive, true
		e.previousBoot = before.BootID
	case o.Refused:
		died, e.alive = e.alive, false
	case answered:
		e.alive = true
	}
	e.seen = o
	return true, died
}

// state returns the state that decides about new work.
func (e *record) state() State {
	switch {
	case e.seen.At != 0 && e.seen.State == StateDown:
		return StateDown
	case e.leaving:
		return StateLeaving
	case e.seen.At == 0 && !e.listedReady:
		return StateDown
	}
	return StateUp
}

// kept reports whether the upstream is still known: it is listed, or it answered a probe recently.
func (e *record) kept(now clock.Millis) bool {
	return e.listed || e.seen.At != 0 && e.seen.State != StateDown && now-e.seen.At < unlistedTimeout
}

// worthTelling reports whether peers should learn of the record before the regular refresh.
func (e *record) worthTelling(refresh clock.Millis) bool {
	return e.sequence == 0 || e.seen.At-e.told.At >= refresh || e.state() != e.told.State ||
		e.seen.BootID != e.told.BootID || e.seen.Load.differs(e.told.Load) || !sameModels(e.seen.Models, e.told.Models)
}

// observations returns what peers need to know. A leaving upstream that is down takes two, because down alone would
// allow it to come back.
func (e *record) observations() []Observation {
	o := e.seen
	o.ID, o.State = e.id, e.state()
	if !e.leaving || o.State == StateLeaving {
		return []Observation{o}
	}
	leaving := o
	leaving.State = StateLeaving
	return []Observation{leaving, o}
}

// peerWork sums the announcements of live peers. What was pending before the last load report held is part of that
// report, and only the tokens and prompts still tell the priorities of the reported work.
func (e *record) peerWork(now clock.Millis) *Prefill {
	sum := &Prefill{}
	for from, a := range e.announced {
		if now-a.At > announcementTimeout {
			delete(e.announced, from)
			continue
		}
		sum.add(&a.Prefill, a.At > e.seen.Load.At)
	}
	return sum
}

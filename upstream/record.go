package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// record is the merged state of one upstream id. It is kept after the list entry is gone, so that a leaving upstream
// stays leaving when a stale list contains it again.
type record struct {
	id          poplarwinch.UpstreamID
	upstream    *Upstream
	listed      bool
	listedReady bool
	leaving     bool
	// alive means that the process has answered and that its death has not been reported since.
	alive  bool
	latest Observation
	// previousBootID identifies the process before the current one; late observations of it are rejected.
	previousBootID string
	updatedAt      clock.Millis
	sequence       uint64
	lastChange     Observation
	announced      map[poplarwinch.InstanceID]Announcement
}

// merge merges o and reports whether it changed the record and whether it shows that the upstream's process died.
func (e *record) merge(o Observation) (changed, died bool) {
	if o.State == StateLeaving && !e.leaving {
		e.leaving, changed = true, true
	}
	if o.BootID != "" && o.BootID == e.previousBootID {
		return changed, false
	}
	if o.Load.At > e.latest.Load.At {
		e.latest.Load, changed = o.Load, true
	}
	if o.At < e.latest.At || o.At == e.latest.At && o.State.severity() <= e.latest.State.severity() {
		return changed, false
	}
	answered := !o.Refused && (o.State != StateDown || o.BootID != "")
	before := e.latest
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
		e.previousBootID = before.BootID
	case o.Refused:
		died, e.alive = e.alive, false
	case answered:
		e.alive = true
	}
	e.latest = o
	return true, died
}

// state returns the state that determines whether the upstream may receive new work.
func (e *record) state() State {
	switch {
	case e.latest.At != 0 && e.latest.State == StateDown:
		return StateDown
	case e.leaving:
		return StateLeaving
	case e.latest.At == 0 && !e.listedReady:
		return StateDown
	}
	return StateUp
}

// known reports whether the upstream is still known, because it is listed or answered a probe recently.
func (e *record) known(now clock.Millis) bool {
	return e.listed || e.latest.At != 0 && e.latest.State != StateDown && now-e.latest.At < unlistedTimeout
}

// changeDue reports whether the record must be sent to peers, because it changed or the refresh interval has passed.
func (e *record) changeDue(refresh clock.Millis) bool {
	return e.sequence == 0 || e.latest.At-e.lastChange.At >= refresh || e.state() != e.lastChange.State ||
		e.latest.BootID != e.lastChange.BootID || e.latest.Load.differsMaterially(e.lastChange.Load) || !sameModels(e.latest.Models, e.lastChange.Models)
}

// observations returns the observations to send to peers. A leaving upstream that is down needs two, because peers that
// receive only down would let it return to up.
func (e *record) observations() []Observation {
	o := e.latest
	o.ID, o.State = e.id, e.state()
	if !e.leaving || o.State == StateLeaving {
		return []Observation{o}
	}
	leaving := o
	leaving.State = StateLeaving
	return []Observation{leaving, o}
}

// announcedPrefill sums the announcements of live peers. Pending tokens announced before the time of the last load
// report are part of that report and left out. Tokens and prompts are always added, since the report does not split its
// work by priority.
func (e *record) announcedPrefill(now clock.Millis) *Prefill {
	sum := &Prefill{}
	for peer, a := range e.announced {
		if now-a.At > announcementTimeout {
			delete(e.announced, peer)
			continue
		}
		sum.add(&a.Prefill, a.At > e.latest.Load.At)
	}
	return sum
}

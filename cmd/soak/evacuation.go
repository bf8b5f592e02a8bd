package main

import (
	"fmt"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

const (
	// evacuationTime is the time from the store's answer after which an evacuated failure domain gets no new requests, and
	// evacuationStretch what an unstable store adds to it. Both are the bounds that the platform sets.
	evacuationTime    = 5 * time.Second
	evacuationStretch = 6 * time.Second
	// minEvacuation and maxEvacuation bound the length of an evacuation. They exceed the bound with its stretch, since the store is
	// disturbed most of the time.
	minEvacuation = 13 * time.Second
	maxEvacuation = 20 * time.Second
)

// evacuation is an evacuation of a failure domain, from the store's answer to the operator's write until the row was removed.
type evacuation struct {
	zone string
	from time.Time
	// until is zero before the end.
	until time.Time
}

// evacuateDomain evacuates a failure domain for some seconds, unless one is evacuated.
func (s *series) evacuateDomain() {
	zone := zones[s.random.IntN(len(zones))]
	length := s.between(minEvacuation, maxEvacuation)
	if s.deployment.beginEvacuation(zone) {
		time.AfterFunc(length, func() { s.deployment.endEvacuation(zone) })
	}
}

// beginEvacuation writes the row of an evacuation. It reports false if one is in force.
func (d *deployment) beginEvacuation(zone string) bool {
	d.evacuationMutex.Lock()
	defer d.evacuationMutex.Unlock()
	if n := len(d.evacuations); n > 0 && d.evacuations[n-1].until.IsZero() {
		return false
	}
	d.log(eventOther, "evacuation of "+zone)
	d.write(emulator.OperatorTable, emulator.EvacuationKey(zone), "{}")
	d.evacuations = append(d.evacuations, evacuation{zone: zone, from: time.Now()})
	return true
}

// endEvacuation removes the row of the evacuation if it is in force.
func (d *deployment) endEvacuation(zone string) {
	d.evacuationMutex.Lock()
	defer d.evacuationMutex.Unlock()
	n := len(d.evacuations)
	if n == 0 || !d.evacuations[n-1].until.IsZero() || d.evacuations[n-1].zone != zone {
		return
	}
	d.evacuations[n-1].until = time.Now()
	d.write(emulator.OperatorTable, emulator.EvacuationKey(zone), "")
	d.log(eventOther, "end of the evacuation of "+zone)
}

// checkEvacuations finds requests, new reservations and probes that reached an evacuated failure domain later than allowed. Requests that were turned away because they
// were sent to another server do not count.
func checkEvacuations(e *evidence) []violation {
	var list []violation
	for _, v := range e.evacuations {
		due := v.from.Add(evacuationTime)
		if e.storeDisturbed(v.from.Add(-convergenceTime), due) {
			due = due.Add(evacuationStretch)
		}
		counts, last := map[string]int{}, time.Time{}
		add := func(what, zone string, at time.Time) {
			if zone == v.zone && at.After(due) && (v.until.IsZero() || at.Before(v.until)) && !e.startedAfterLoss(at) {
				counts[what]++
				last = at
			}
		}
		for _, a := range e.arrivals {
			if !a.Misdirected {
				add("request", a.Zone, a.At)
			}
		}
		for _, c := range e.contacts {
			add(string(c.Kind), c.Zone, c.At)
		}
		if len(counts) > 0 {
			list = append(list, violation{"evacuated-domain", fmt.Sprintf(
				"%v reached %s, the last one %d ms after its evacuation", counts, v.zone, last.Sub(v.from).Milliseconds(),
			)})
		}
	}
	return list
}

// storeDisturbed reports whether the store was disturbed in the span.
func (e *evidence) storeDisturbed(from, until time.Time) bool {
	for _, v := range e.events {
		if v.kind == eventStore && v.at.Before(until) && v.until.After(from) {
			return true
		}
	}
	return false
}

// startedAfterLoss reports whether the store was restored from a copy shortly before a time, and an instance started since then: it can't
// know of a row that the copy lacks until a peer or the operator's next write tells it.
func (e *evidence) startedAfterLoss(at time.Time) bool {
	for _, v := range e.events {
		if v.kind != eventStore || v.at.After(at) || v.until.Add(maxRewrite+applyTime).Before(at) {
			continue
		}
		for name := range e.starts {
			if e.started(name, v.at, at) {
				return true
			}
		}
	}
	return false
}

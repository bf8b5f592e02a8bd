package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

// eventKind says what an event disturbs.
type eventKind string

// The kinds of events.
const (
	eventInstance eventKind = "instance"
	eventServer   eventKind = "server"
	eventStore    eventKind = "store"
	eventOther    eventKind = "other"
)

// event is a fault of the series, or its consequence.
type event struct {
	at   time.Time
	kind eventKind
	text string
	// name is the instance, if the event is about one.
	name string
	// until is the end of the disturbance.
	until time.Time
}

// limitEvent is a limit that a server named for a time.
type limitEvent struct {
	server      string
	perSecond   float64
	from, until time.Time
}

// evidence is what the checks need to know of the deployment.
type evidence struct {
	events   []event
	limits   []limitEvent
	leaving  map[string]time.Time
	runs     []emulator.Run
	arrivals []emulator.Arrival
	contacts []emulator.Contact
	// cold has the seconds in which cold servers got too many requests.
	cold       []emulator.ColdViolation
	unexpected int
	// crashingParts are the parts that crash servers, until partsUntil.
	crashingParts []string
	partsUntil    time.Time
	// crashes has the times at which servers crashed.
	crashes     map[string]time.Time
	evacuations []evacuation
	// history has the writes and losses of configurations, and starts the times at which the processes of each instance started.
	history []configurationEvent
	starts  map[string][]time.Time
	// calls has the numbers of calls to the store over time.
	calls []callCount
	// unregistered is the number of instances that the store doesn't list in the end.
	unregistered int
}

func (d *deployment) log(kind eventKind, text string) { d.logEvent(event{kind: kind, text: text}) }

func (d *deployment) logEvent(e event) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e.at = time.Now()
	if e.until.IsZero() {
		e.until = e.at
	}
	d.events = append(d.events, e)
	fmt.Printf("%6.2f %s\n", e.at.Sub(d.started).Seconds(), e.text)
}

func (d *deployment) evidence() evidence {
	d.evacuationMutex.Lock()
	evacuations := append([]evacuation{}, d.evacuations...)
	d.evacuationMutex.Unlock()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e := evidence{events: append([]event{}, d.events...), limits: append([]limitEvent{}, d.limits...), leaving: map[string]time.Time{}, evacuations: evacuations}
	for id, at := range d.leaving {
		e.leaving[id] = at
	}
	e.runs, e.arrivals, e.contacts = d.record.Runs(), d.record.Arrivals(), d.record.Contacts()
	e.cold = d.record.ColdViolations()
	listed := d.store.Values(emulator.InstancesTable)
	e.starts = map[string][]time.Time{}
	for _, p := range d.instances {
		e.unexpected += p.unexpectedEnds()
		e.starts[p.Name] = p.startTimes()
		if listed[p.Name] == "" {
			e.unregistered++
		}
	}
	d.rowsMutex.Lock()
	e.history, e.calls = append(e.history, d.history...), append(e.calls, d.calls...)
	d.rowsMutex.Unlock()
	e.crashingParts, e.partsUntil = []string{crashingPart}, d.faultsEndedAt
	e.crashes = map[string]time.Time{}
	for id, at := range d.crashes {
		e.crashes[id] = at
	}
	return e
}

// disturbed reports whether an instance or the store was disturbed in the span.
func (e *evidence) disturbed(from, until time.Time) bool {
	for _, v := range e.events {
		if (v.kind == eventInstance || v.kind == eventStore) && v.at.Before(until) && v.until.After(from) {
			return true
		}
	}
	return false
}

// inTouch reports whether neither the store nor the instance was disturbed from convergenceTime before a request to its end.
func (e *evidence) inTouch(r *result) bool {
	from := r.from.Add(-convergenceTime)
	for _, v := range e.events {
		if (v.kind == eventStore || v.kind == eventInstance && v.name == r.instance) && v.at.Before(r.until) && v.until.After(from) {
			return false
		}
	}
	return !e.started(r.instance, from, r.until)
}

// started reports whether a process of the instance started in the span.
func (e *evidence) started(instance string, from, until time.Time) bool {
	for _, at := range e.starts[instance] {
		if at.After(from) && at.Before(until) {
			return true
		}
	}
	return false
}

// clock returns a time as the log of events has it.
func (e *evidence) clock(at time.Time) string {
	if len(e.events) == 0 {
		return "0.00"
	}
	return fmt.Sprintf("%.2f", at.Sub(e.events[0].at).Seconds())
}

// runsOf lists the servers that ran a request.
func (e *evidence) runsOf(r *result) string {
	var list []string
	for _, run := range e.runs {
		if run.Attempt == r.request.Attempt {
			list = append(list, fmt.Sprintf("%s at %s, completed %t", run.Server, e.clock(run.At), run.Completed))
		}
	}
	return strings.Join(list, "; ")
}

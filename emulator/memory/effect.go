// Package memory provides a table and an object store in memory with scripted faults. Decision packages use it in tests
// in virtual time, where no network is available.
package memory

import "github.com/poplarwinch/poplarwinch/clock"

// Kind says what happens to a call.
type Kind string

// The kinds of effects.
const (
	// OK means that the call takes effect and is answered.
	OK Kind = "ok"
	// Rejected means that the call has no effect, and that its client knows this.
	Rejected Kind = "rejected"
	// LostReply means that the call takes effect and is not answered.
	LostReply Kind = "lost reply"
	// Late means that the call is not answered and takes effect later.
	Late Kind = "late"
	// Dropped means that the call has no effect and is not answered.
	Dropped Kind = "dropped"
)

// Effect is what happens to one call.
type Effect struct {
	Kind Kind
	// Late is the delay of a late call.
	Late clock.Millis
}

// Outage is a time in which calls are dropped and rejected by turns. From and To count from the start of the platform.
type Outage struct{ From, To clock.Millis }

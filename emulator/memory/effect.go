// Package memory provides an in-memory table and object store with scripted faults, for tests in virtual time, where no
// network is available.
package memory

import "github.com/poplarwinch/poplarwinch/clock"

// Kind is the kind of effect that a call has.
type Kind string

// The kinds of effects.
const (
	// OK means that the call takes effect and is answered.
	OK Kind = "ok"
	// Rejected means that the call has no effect and that the client is told so.
	Rejected Kind = "rejected"
	// LostReply means that the call takes effect and is not answered.
	LostReply Kind = "lost reply"
	// Late means that the call is not answered and takes effect after a delay.
	Late Kind = "late"
	// Dropped means that the call has no effect and is not answered.
	Dropped Kind = "dropped"
)

// Effect describes what happens to a call.
type Effect struct {
	Kind Kind
	// Late is the delay of the effect if Kind is Late.
	Late clock.Millis
}

// Outage is an interval in which calls are alternately dropped and rejected. From and To count from the start of the
// platform.
type Outage struct{ From, To clock.Millis }

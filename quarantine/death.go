package quarantine

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// uncertainStartWindow is the time within which two deaths of an engine may be the same one although they name different starts, or
	// are the same one if neither names any.
	uncertainStartWindow = 10 * clock.Second
	// maxReportSkew bounds the difference between the times of a death in two reports because of their ways.
	maxReportSkew clock.Millis = 200
)

// Death is the crash of one start of an engine while it ran a request.
type Death struct {
	Upstream poplarwinch.UpstreamID
	// Boot tells apart the processes that run under the engine's id one after the other; zero if it isn't known, as in reports of older
	// versions. It may be that of an earlier process if the reporting instance has not learned of the present one.
	Boot int64
	At   clock.Millis
	// Silence is the time from the last sign of life of the engine, at the earliest the sending of the request, to At, when the crash was
	// noticed; of several requests, the shortest.
	Silence clock.Millis
	// Cleared says that another engine completed an answer with the suspect later, so that this death was not its fault.
	Cleared bool
}

// aliveAt returns the latest time at which the engine is known to have been alive.
func (d Death) aliveAt() clock.Millis { return d.At - d.Silence }

// sameAs reports whether d and other are reports of the same death. A process dies once, however long it takes to notice it. Where the
// instances that report it don't know the same start, the engine must not have been alive between the two.
func (d Death) sameAs(other Death) bool {
	if d.Upstream != other.Upstream {
		return false
	}
	isClose := max(d.At-other.At, other.At-d.At) < uncertainStartWindow
	overlaps := !d.isBefore(other) && !other.isBefore(d)
	switch {
	case d.Boot == 0 && other.Boot == 0:
		return isClose || overlaps
	case d.Boot == other.Boot:
		return true
	case d.Boot == 0 || other.Boot == 0:
		return overlaps
	}
	return isClose && overlaps
}

// isBefore reports whether the engine is known to have been alive after d and before other.
func (d Death) isBefore(other Death) bool { return other.aliveAt() > d.At+maxReportSkew }

// with returns the death as known from both reports of it. All instances keep the earliest time and the latest start, so that they converge
// although a report ages on its way.
func (d Death) with(other Death) Death {
	d.Boot = max(d.Boot, other.Boot)
	d.At = min(d.At, other.At)
	d.Silence = min(d.Silence, other.Silence)
	d.Cleared = d.Cleared || other.Cleared
	return d
}

package fleet

import "github.com/poplarwinch/poplarwinch/clock"

// maxRest bounds the time for which a server gets no requests because it said so once.
const maxRest = 10 * clock.Minute

// NewRest returns the time that is kept for the number of seconds for which a server wants no requests.
func NewRest(seconds float64) clock.Millis {
	return clock.Millis(min(max(seconds, 0), float64(maxRest/clock.Second)) * float64(clock.Second))
}

// rest is the notice of a server that wants no requests from this instance for a time. No answer ends it early: the server may have
// written it before.
type rest struct {
	statement
	// until is the end of the time.
	until clock.Millis
	// peersUntil is the latest end of such times of peers.
	peersUntil clock.Millis
}

// observe records the time for which a server wants no requests and reports whether that is new.
func (r *rest) observe(span, now clock.Millis) bool {
	if span <= 0 || now+span <= r.until {
		return false
	}
	r.begin(now, SourceAnswer)
	r.until = now + span
	return true
}

// merge records the time for which a server wants no requests from a peer.
func (r *rest) merge(span, now clock.Millis) {
	if span > 0 {
		r.peersUntil = max(r.peersUntil, now+min(span, maxRest))
	}
}

// left returns the time for which the server still wants no requests from this instance.
func (r *rest) left(now clock.Millis) clock.Millis { return max(r.until-now, 0) }

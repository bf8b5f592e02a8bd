package fleet

import "github.com/poplarwinch/poplarwinch/clock"

const (
	// maxRest bounds the time for which a server gets no requests because it said so once.
	maxRest = 10 * clock.Minute
	// returnAnswers is the number of answers to requests after that time from which on requests are no longer held back.
	returnAnswers = 4
	// returnsPerAnswer is the number of requests that each of these answers allows.
	returnsPerAnswer = 2
	// returnInterval is the time after such a request from which another one is allowed although no answer has come.
	returnInterval = clock.Second
	// returnTurnDelay is the time by which each further instance lets those before it return first.
	returnTurnDelay clock.Millis = 50
	// maxReturnTurnDelay bounds that time for the last instance.
	maxReturnTurnDelay = clock.Second
)

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
	// returning says that requests are sent again one after another once the time has passed. allowed of them may be sent now, answers of
	// them were answered, and the latest was sent at sentAt.
	returning bool
	allowed   int
	answers   int
	sentAt    clock.Millis
}

// observe records the time for which a server wants no requests and reports whether that is new.
func (r *rest) observe(span, now clock.Millis) bool {
	if span <= 0 || now+span <= r.until {
		return false
	}
	r.begin(now, SourceAnswer)
	r.until = now + span
	r.returning, r.allowed, r.answers, r.sentAt = true, 1, 0, 0
	return true
}

// answered records an answer to a request that was sent at a time.
func (r *rest) answered(sentAt clock.Millis) {
	if !r.returning || sentAt < r.until {
		return
	}
	r.allowed += returnsPerAnswer
	r.answers++
	r.returning = r.answers < returnAnswers
}

// add counts a request of this instance.
func (r *rest) add(now clock.Millis) {
	if r.returning && now >= r.until {
		r.allowed = max(r.allowed-1, 0)
		r.sentAt = now
	}
}

// openAt returns the time from which the server may get another request of this instance.
func (r *rest) openAt() clock.Millis {
	if r.returning && r.allowed == 0 {
		return r.sentAt + returnInterval
	}
	return r.until
}

// merge records the time for which a server wants no requests from a peer.
func (r *rest) merge(span, now clock.Millis) {
	if span > 0 {
		r.peersUntil = max(r.peersUntil, now+min(span, maxRest))
	}
}

// left returns the time for which the server still wants no requests from this instance.
func (r *rest) left(now clock.Millis) clock.Millis { return max(r.until-now, 0) }

// returnWait returns the time until this instance may send another request to a server that gets requests again one after another; zero
// means now. If the server wanted no requests from others either, instances take turns. The caller holds the lock.
func (f *Fleet) returnWait(m *serverState, now clock.Millis) clock.Millis {
	r := &m.notices.rest
	if !r.returning {
		return 0
	}
	at := r.openAt()
	if r.sentAt == 0 && r.peersUntil > 0 {
		at += f.turnDelay(m, now, returnTurnDelay, maxReturnTurnDelay)
	}
	return max(at-now, 0)
}

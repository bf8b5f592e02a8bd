package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// limitBurst is the number of requests that a limited server may get at once if it got none for a while.
	limitBurst = 2
	// minRequestRate is the smallest limit that is kept: a server that gets no requests could not show that its limit has ended.
	minRequestRate RequestRate = 0.2
	// maxLimitPause bounds the time for which a server gets no requests because it got too many.
	maxLimitPause = 10 * clock.Second
	// turnDelay is the time by which each further instance lets those before it go first, so that they know of each other's requests.
	turnDelay = 2 * PropagationDelay
	// maxTurnDelay bounds that time for the last instance.
	maxTurnDelay clock.Millis = 200
	// distantLimitWait is the assumed wait for a limited server whose requests from other instances are not known here.
	distantLimitWait = clock.Second
)

// PropagationDelay is the time until the other instances of a cell know of a decision.
const PropagationDelay clock.Millis = 6

// RequestRate is a number of requests per second.
type RequestRate float64

// NewLimit returns the rate that is kept for a limit which a server names.
func NewLimit(perSecond float64) RequestRate { return max(RequestRate(perSecond), minRequestRate) }

// interval returns the time between two requests.
func (r RequestRate) interval() clock.Millis { return clock.Millis(float64(clock.Second) / float64(r)) }

// limit is the rate of requests that a server takes from all instances together. Each instance counts the requests of all, so that
// nothing depends on their number. It is the generic cell rate algorithm, with nextAt as the theoretical arrival time.
type limit struct {
	statement
	// rate is zero if there is no limit.
	rate RequestRate
	// nextAt is the time at which the next request is due if all come at the rate of the limit.
	nextAt clock.Millis
}

// observe records the limit that an answer names, zero for none, and reports whether that is new.
func (l *limit) observe(rate RequestRate, sentAt, now clock.Millis) bool {
	switch {
	case rate > 0:
		return l.begin(now, SourceAnswer) && l.set(rate)
	case l.rate > 0:
		return l.end(sentAt, SourceAnswer) && l.set(0)
	}
	return false
}

// merge records the limit that a peer reports and reports whether that is new.
func (l *limit) merge(r LimitReport, now clock.Millis) bool {
	switch at := now - r.Age; {
	case !r.Known:
		return false
	case r.Rate > 0:
		return l.begin(at, SourcePeer) && l.set(r.Rate)
	case l.rate > 0:
		return l.end(at, SourcePeer) && l.set(0)
	}
	return false
}

func (l *limit) set(rate RequestRate) bool {
	changed := rate != l.rate
	l.rate = rate
	return changed
}

// add counts requests that any instance has sent.
func (l *limit) add(requests int, now clock.Millis) {
	if l.rate == 0 || requests <= 0 {
		return
	}
	l.nextAt = max(l.nextAt, now) + clock.Millis(requests)*l.rate.interval()
	l.nextAt = min(l.nextAt, now+maxLimitPause)
}

// spacing returns the time between two requests, or zero if there is no limit.
func (l *limit) spacing() clock.Millis {
	if l.rate == 0 {
		return 0
	}
	return l.rate.interval()
}

// openAt returns the time from which the server may get another request.
func (l *limit) openAt() clock.Millis { return l.nextAt - (limitBurst-1)*l.rate.interval() }

// limitWait returns the time until this instance may send the server another request; zero means now. Instances take turns in an order
// that differs between servers: one that is not first waits a little longer, and sends only if those before it had nothing to send.
// The caller holds the lock.
func (f *Fleet) limitWait(m *serverState, now clock.Millis) clock.Millis {
	if m.notices.limit.rate == 0 {
		return 0
	}
	wait := m.notices.limit.openAt() - now
	if wait <= -maxTurnDelay {
		return 0
	}
	return max(wait+f.turnDelay(m, now, turnDelay, maxTurnDelay), 0)
}

// turnDelay returns the time for which this instance lets those before it go first at a server: step for each of them, and most for the
// last one at most. The caller holds the lock.
func (f *Fleet) turnDelay(m *serverState, now, step, most clock.Millis) clock.Millis {
	before, others := 0, 0
	own := m.turn(f.instance)
	for id, p := range f.peerReports {
		if now-p.at > reportTimeout {
			continue
		}
		others++
		if m.turn(id) < own {
			before++
		}
	}
	return clock.Millis(before) * min(step, most/clock.Millis(max(others, 1)))
}

// nearWait returns the wait for a server whose requests from all instances are known here. The caller holds the lock.
func (f *Fleet) nearWait(m *serverState, now clock.Millis) clock.Millis {
	if rest := m.notices.rest.left(now); rest > 0 {
		return rest
	}
	return max(f.limitWait(m, now), f.returnWait(m, now), f.coldWait(m, now))
}

// distantWait returns the wait for a server whose requests are not all known here. The caller holds the lock.
func (f *Fleet) distantWait(m *serverState, limited bool, now clock.Millis) clock.Millis {
	if rest := m.notices.rest.left(now); rest > 0 {
		return rest
	}
	if wait := f.coldWait(m, now); wait > 0 {
		return wait
	}
	if limited || m.notices.limit.rate > 0 {
		return distantLimitWait
	}
	return f.returnWait(m, now)
}

// waitFor returns the wait for a server, near or distant. The caller holds the lock.
func (f *Fleet) waitFor(m *serverState, now clock.Millis) clock.Millis {
	if !f.isNear(m) && f.isDivided() {
		return f.distantWait(m, false, now)
	}
	return f.nearWait(m, now)
}

// isDivided reports whether instances of other cells send summaries, so that not all of their requests are known here. The caller
// holds the lock.
func (f *Fleet) isDivided() bool { return len(f.summaries) > 0 }

// turn orders instances in the same way at all of them.
func (m *serverState) turn(id poplarwinch.InstanceID) uint64 {
	h := xxhash.NewWithSeed(m.hash)
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}

// LimitReport is what an instance has seen of a server's limit.
type LimitReport struct {
	// Known says that the instance has seen it. Rate is zero then if the limit has ended.
	Known bool
	Rate  RequestRate
	// Age is the time since then.
	Age clock.Millis
}

// report returns the limit for a report to peers.
func (l *limit) report(now clock.Millis) LimitReport {
	if !l.isNews(l.rate > 0, now) {
		return LimitReport{}
	}
	return LimitReport{Known: true, Rate: l.rate, Age: now - l.at}
}

// summary returns the limit for a summary of a cell, which says only that there is one.
func (l *limit) summary() LimitReport { return LimitReport{Known: l.rate > 0, Rate: l.rate} }

// countSent counts what a peer has sent to the server since the report before.
func (m *serverState) countSent(w, before ServerWork, now clock.Millis) {
	sent := w.Sent - before.Sent
	switch {
	case before.Sent == 0:
		sent = min(sent, w.Load.Requests) // the earlier ones were sent before the limit was known
	case sent < 0:
		sent = w.Sent // the peer has restarted
	}
	m.notices.limit.add(sent, now)
}

package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

const (
	// maxHeldAttempts and maxHeldSuspects bound the broken attempts that are held until their outages are decided, and the requests and parts
	// of prompts in them. The oldest ones of the longest outage give way.
	maxHeldAttempts = 1024
	maxHeldSuspects = 1 << 16
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 32
)

// brokenAttempt is what is kept of an attempt that its server broke off. It doesn't refer to the request, which may be large.
type brokenAttempt struct {
	log      log.Interface
	service  poplarwinch.ServiceName
	suspects quarantine.PromptSuspects
	parts    []poplarwinch.PromptPartID
	// unconfirmed counts the request's attempts of which it isn't known whether their servers crashed.
	unconfirmed *atomic.Int64
	// sentAt and brokeAt are the times of the begin and the end; aliveAt is the latest one at which the server is known to have been alive.
	sentAt, aliveAt, brokeAt clock.Millis
	// answered is the time from the first event to the end.
	answered clock.Millis
	// returnedAt is the time at which the server was known to have been alive after the end; zero if it isn't.
	returnedAt clock.Millis
}

// size is the number of suspects of the attempt.
func (a *brokenAttempt) size() int { return 1 + len(a.suspects.Parts) }

// hasReturned records once that the server was alive after the attempt broke off, and reports whether it was.
func (a *brokenAttempt) hasReturned(aliveAt, now clock.Millis) bool {
	if a.returnedAt == 0 && a.brokeAt <= aliveAt {
		a.returnedAt = now
		a.unconfirmed.Add(-1)
	}
	return a.returnedAt > 0
}

// confirm ends the wait for what became of the server, unless it has returned. A crash must have been recorded before.
func (a *brokenAttempt) confirm() {
	if a.returnedAt == 0 {
		a.unconfirmed.Add(-1)
	}
}

// outages has the servers that broke off attempts, until it is known whether they have crashed.
type outages struct {
	d     *Dispatcher
	mutex sync.Mutex
	open  map[serverStart]*outage
	// attempts and suspects are the numbers of those that are held.
	attempts, suspects int
}

// serverStart names one start of a server.
type serverStart struct {
	id   poplarwinch.UpstreamID
	boot int64
}

// startOf returns the name of the start of a server.
func startOf(s *fleet.Server) serverStart { return serverStart{s.ID, s.Boot} }

func newOutages(d *Dispatcher) *outages {
	return &outages{d: d, open: map[serverStart]*outage{}}
}

// add adds an attempt that the server broke off.
func (l *outages) add(s fleet.Server, a *brokenAttempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o := l.open[startOf(&s)]
	if o == nil {
		o = &outage{d: l.d, server: s, changed: make(chan struct{}, 1), decided: make(chan struct{}), openedAt: l.d.clock.Now()}
		l.open[startOf(&s)] = o
		l.d.background.Go(o.run)
	}
	o.attempts = append(o.attempts, a)
	l.attempts, l.suspects = l.attempts+1, l.suspects+a.size()
	l.makeRoom()
	o.wake()
}

// makeRoom drops attempts above the limits. The caller holds the lock.
func (l *outages) makeRoom() {
	for l.attempts > maxHeldAttempts || l.suspects > maxHeldSuspects && l.attempts > 1 {
		var longest *outage
		for _, o := range l.open {
			if len(o.attempts) > 0 && (longest == nil || o.openedAt < longest.openedAt) {
				longest = o
			}
		}
		a := longest.attempts[0]
		longest.attempts = longest.attempts[1:]
		l.forget(a)
		a.confirm()
		l.d.metrics.brokenAttemptDropped(a.service)
	}
}

// forget subtracts an attempt that is held no longer. The caller holds the lock.
func (l *outages) forget(a *brokenAttempt) {
	l.attempts, l.suspects = l.attempts-1, l.suspects-a.size()
}

// needsProbe reports whether an attempt broke off since the server was last known to be alive.
func (l *outages) needsProbe(o *outage) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.ContainsFunc(o.attempts, func(a *brokenAttempt) bool { return a.brokeAt > o.aliveAt })
}

// haveReturned reports whether the server was alive after all attempts of the outage broke off, and the list, which knows by now if that
// was a new start, says nothing else.
func (l *outages) haveReturned(o *outage) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return o.haveReturned(l.d.clock.Now())
}

// haveReturned is the same for a caller that holds the lock of the outages.
func (o *outage) haveReturned(now clock.Millis) bool {
	returned := true
	for _, a := range o.attempts {
		returned = a.hasReturned(o.aliveAt, now) && now-a.returnedAt >= listDelay && returned
	}
	return returned
}

// listChanged decides the outages of servers that the new list shows to have been started again. A server that is new in the list may show
// what became of its neighbours.
func (l *outages) listChanged() {
	l.mutex.Lock()
	var open []*outage
	var starts []fleet.Server
	for _, o := range l.open {
		open, starts = append(open, o), append(starts, o.server)
	}
	l.mutex.Unlock()
	if len(open) == 0 {
		return
	}
	var ended []verdict
	for i, listing := range l.d.fleet.Listings(starts) {
		if listing != fleet.ListingReplaced {
			open[i].wake()
		} else if v, ok := l.end(open[i], evidenceReplaced); ok {
			ended = append(ended, v)
		}
	}
	l.conclude(ended...)
}

// regained makes the next look at a server that is reachable again, and at its neighbours, due.
func (l *outages) regained(s *fleet.Server) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, o := range l.open {
		if o.server.Domain == s.Domain {
			o.wake()
		}
	}
}

// verdict is what was found about an outage that is over.
type verdict struct {
	outage   *outage
	found    evidence
	attempts []*brokenAttempt
}

// decide ends an outage and records crashes if that is what the evidence shows. It reports false if the outage goes on, as an attempt broke
// off meanwhile that the server hasn't survived.
func (l *outages) decide(o *outage, found evidence) bool {
	v, ok := l.end(o, found)
	if ok {
		l.conclude(v)
	}
	select {
	case <-o.decided:
		return true
	default:
		return false
	}
}

// end ends an outage. It reports false if that was done before, or the outage goes on.
func (l *outages) end(o *outage, found evidence) (verdict, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open[startOf(&o.server)] != o || found == evidenceReturned && !o.haveReturned(l.d.clock.Now()) {
		return verdict{}, false
	}
	delete(l.open, startOf(&o.server))
	close(o.decided)
	v := verdict{outage: o, found: found, attempts: o.attempts}
	o.attempts = nil
	for _, a := range v.attempts {
		l.forget(a)
	}
	return v, true
}

// conclude records the crashes of outages that are over, or logs that there were none. The caller may be installing the list, so that
// crashes are recorded together and logged in the background.
func (l *outages) conclude(ended ...verdict) {
	var crashes []quarantine.Crash
	for i := range ended {
		v := &ended[i]
		l.d.metrics.outageDecided(v.found)
		for _, a := range v.attempts {
			if v.isCrash(a) {
				crashes = append(crashes, quarantine.Crash{Suspects: a.suspects, Death: a.death(l.d.fleet, &v.outage.server)})
				l.d.metrics.crashRecorded(a.service)
			}
		}
		if v.found == evidenceNeighbour {
			l.d.fleet.Crashed(v.outage.server)
		}
	}
	if len(crashes) > 0 {
		l.d.suspects.RecordCrashes(crashes)
	}
	for i := range ended {
		for _, a := range ended[i].attempts {
			a.confirm()
		}
	}
	l.d.background.Go(func() {
		for i := range ended {
			ended[i].log(l.d)
		}
	})
}

// isCrash reports whether the server crashed during the attempt.
func (v *verdict) isCrash(a *brokenAttempt) bool {
	return v.found == evidenceReplaced || v.found == evidenceNeighbour && a.returnedAt == 0
}

// log logs the crash for each of its attempts, or that there was none although the server was unreachable.
func (v *verdict) log(d *Dispatcher) {
	s, crashes := &v.outage.server, 0
	for _, a := range v.attempts {
		if v.isCrash(a) {
			a.logCrash(d, s, v.found)
			crashes++
		}
	}
	if crashes == 0 && v.outage.wasDead.Load() {
		d.log.WithFields(log.Fields{
			"upstream": s.ID, "failure-domain": s.Domain, "evidence": v.found, "age-ms": d.clock.Now() - v.outage.openedAt,
		}).Warn("server was unreachable; no crash recorded")
	}
}

// death returns the death of the server as the attempt noticed it. The start isn't known if the one in the list crashed before the attempt.
func (a *brokenAttempt) death(f *fleet.Fleet, s *fleet.Server) quarantine.Death {
	boot := s.Boot
	if f.HasCrashedBefore(*s, a.sentAt) {
		boot = 0
	}
	return quarantine.Death{Upstream: s.ID, Boot: boot, At: a.brokeAt, Silence: a.brokeAt - a.aliveAt}
}

// logCrash logs that the server crashed during the attempt.
func (a *brokenAttempt) logCrash(d *Dispatcher, s *fleet.Server, found evidence) {
	a.log.WithFields(log.Fields{
		"upstream": s.ID, "fingerprint": a.suspects.Request.String(), "deaths": d.suspects.Deaths(a.suspects.Request), "parts": a.loggedParts(),
		"part-count": len(a.parts), "known-suspects": d.suspects.Size(), "evicted-suspects": d.suspects.Evicted(), "evidence": found,
		"ran-ms": a.brokeAt - a.sentAt, "silent-ms": a.brokeAt - a.aliveAt, "answered-ms": a.answered, "recorded-after-ms": d.clock.Now() - a.brokeAt,
	}).Warn("server crashed while running the request")
}

// loggedParts returns the parts of the prompt for a log line: all, or the first and the last ones.
func (a *brokenAttempt) loggedParts() []poplarwinch.PromptPartID {
	n := len(a.parts)
	if n <= maxLoggedParts {
		return a.parts
	}
	return slices.Concat(a.parts[:maxLoggedParts/2], a.parts[n-maxLoggedParts/2:])
}

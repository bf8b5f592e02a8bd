package main

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

// Bounds of the checks, from the users' pages.
const (
	// convergenceTime is the time after which undisturbed instances have to know of a change.
	convergenceTime = 3 * time.Second
	// applyTime is the time after which a configuration is in force, and rollbackTime the one after a sign of it from which an instance
	// may not go back.
	applyTime    = 2 * time.Second
	rollbackTime = 250 * time.Millisecond
	// unansweredShare is the part of a request's time after which its connection may end without an answer.
	unansweredShare = 0.7
	// drainTime is the time after which a leaving server gets no new requests.
	drainTime = 2 * time.Second
	// crashesToLearn is the number of crashes after which, and after convergenceTime, at most sendsAfterLearning requests with the part may
	// reach servers.
	crashesToLearn     = 5
	sendsAfterLearning = 3
	// maxCallRate is the largest number of calls to the store in callWindow, for each instance and second.
	maxCallRate = 12
	callWindow  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	// recoveredShare is the share of requests that are answered once the faults have ended.
	recoveredShare = 0.97
)

// violation is a broken promise.
type violation struct {
	rule   string
	detail string
}

// String returns the violation for the report.
func (v violation) String() string { return "VIOLATION " + v.rule + ": " + v.detail }

// check returns the broken promises of a run.
func check(o outcome, e evidence) []violation {
	list := checkAnswers(o, &e)
	list = append(list, checkConfigurations(o, &e)...)
	list = append(list, checkRepeats(&e)...)
	list = append(list, checkLeaving(&e)...)
	list = append(list, checkEvacuations(&e)...)
	list = append(list, checkCrashingParts(&e)...)
	list = append(list, checkLimits(&e)...)
	list = append(list, checkCold(&e)...)
	list = append(list, checkCalls(&e)...)
	list = append(list, checkRecovery(o)...)
	if e.unexpected > 0 {
		list = append(list, violation{"unexpected-exit", fmt.Sprintf("%d processes ended by themselves", e.unexpected)})
	}
	if e.unregistered > 0 {
		list = append(list, violation{"unregistered", fmt.Sprintf("%d instances are not in the store's table of instances", e.unregistered)})
	}
	return list
}

// checkAnswers finds answers that are partial or foreign but look complete, rejections of requests that have run, requests that a planned
// stop cut off, and others that got no answer.
func checkAnswers(o outcome, e *evidence) []violation {
	runs := map[string][]emulator.Run{}
	for _, r := range e.runs {
		runs[r.Attempt] = append(runs[r.Attempt], r)
	}
	var list []violation
	all := slices.Concat(o.results, o.probes)
	for i := range all {
		r := &all[i]
		own := runs[r.request.Attempt]
		switch a := r.answer; {
		case a.Status == http.StatusOK && a.Ended && !a.Complete:
			list = append(list, violation{"incomplete-answer", fmt.Sprintf("%s at %s got an answer that looks complete and is not", r.request.Attempt, r.instance)})
		case (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) && len(own) > 0:
			list = append(list, violation{"rejected-after-run", fmt.Sprintf("%s at %s was rejected with %d and has run on %s", r.request.Attempt, r.instance, a.Status, own[0].Server)})
		case a.Status >= 400 && a.Status < 500 && a.Status != http.StatusTooManyRequests && r.marker == 0:
			list = append(list, violation{"client-error", fmt.Sprintf("%s at %s got %d", r.request.Attempt, r.instance, a.Status)})
		case r.closedWithoutAnswer() && e.cutByStop(r, own):
			list = append(list, violation{"interrupted", fmt.Sprintf("%s at %s ended without an answer: %v", r.request.Attempt, r.instance, a.Err)})
		case e.unanswered(r):
			list = append(list, violation{"unanswered", fmt.Sprintf(
				"%s at %s, sent at %s, ended after %d ms: %v; runs: %s", r.request.Attempt, r.instance, e.clock(r.from), r.until.Sub(r.from).Milliseconds(), a.Err, e.runsOf(r),
			)})
		}
	}
	return list
}

// unanswered reports whether the connection ended without an answer although nothing disturbed the instance, the request's time was not
// nearly up, and none of its servers broke it off.
func (e *evidence) unanswered(r *result) bool {
	late := r.until.Sub(r.from).Seconds() >= unansweredShare*r.request.Timeout.Seconds()
	return r.closedWithoutAnswer() && !late && !e.instanceDisturbed(r) && !e.brokenOff(r)
}

// cutByStop reports whether a request was cut off although only a planned stop disturbed its instance, its server completed it and none of
// its servers crashed meanwhile.
func (e *evidence) cutByStop(r *result, runs []emulator.Run) bool {
	for _, v := range e.events {
		if v.kind == eventInstance && v.name == r.instance && !isPlannedStop(v) && v.at.Before(r.until) && v.until.Add(convergenceTime).After(r.from) {
			return false
		}
	}
	if e.serverCrashed(r) {
		return false
	}
	return len(runs) > 0 && runs[len(runs)-1].Completed && r.until.Sub(runs[len(runs)-1].At) < stopGrace
}

// serverCrashed reports whether a server crashed while it had the request.
func (e *evidence) serverCrashed(r *result) bool {
	for _, run := range e.runs {
		if at, crashed := e.crashes[run.Server]; run.Attempt == r.request.Attempt && crashed && !at.Before(run.At) && !at.After(r.until) {
			return true
		}
	}
	return false
}

// brokenOff reports whether a server reset the request's connection, also before it began to work on the request.
func (e *evidence) brokenOff(r *result) bool {
	for _, a := range e.arrivals {
		if at, crashed := e.crashes[a.Server]; a.Attempt == r.request.Attempt && crashed && !at.Before(a.At) && !at.After(r.until) {
			return true
		}
	}
	return e.serverCrashed(r) || slices.ContainsFunc(e.runs, func(run emulator.Run) bool { return run.Attempt == r.request.Attempt && run.BrokenOff })
}

// instanceDisturbed reports whether the request's instance was disturbed or just had been.
func (e *evidence) instanceDisturbed(r *result) bool {
	for _, v := range e.events {
		if v.kind == eventInstance && v.name == r.instance && v.at.Before(r.until) && v.until.Add(convergenceTime).After(r.from) {
			return true
		}
	}
	return e.started(r.instance, r.from.Add(-convergenceTime), r.until)
}

func isPlannedStop(v event) bool { return len(v.text) > 7 && v.text[:7] == "SIGTERM" }

// checkRepeats finds requests that must not be repeated and ran twice.
func checkRepeats(e *evidence) []violation {
	count := map[string]int{}
	for _, r := range e.runs {
		if r.Kind == emulator.KindNonIdempotent {
			count[r.Attempt]++
		}
	}
	var list []violation
	for attempt, n := range count {
		if n > 1 {
			list = append(list, violation{"duplicate-run", fmt.Sprintf("%s ran %d times", attempt, n)})
		}
	}
	return list
}

// checkLeaving finds requests to servers that left, while nothing kept the instances from knowing.
func checkLeaving(e *evidence) []violation {
	var list []violation
	for _, a := range e.arrivals {
		at, leaves := e.leaving[a.Server]
		if leaves && a.At.After(at.Add(drainTime)) && !e.disturbed(at.Add(-convergenceTime), a.At) {
			list = append(list, violation{"leaving-server", fmt.Sprintf("%s got a request %d ms after it began to leave", a.Server, a.At.Sub(at).Milliseconds())})
		}
	}
	return list
}

// checkCrashingParts finds parts that go on crashing servers after undisturbed instances have to know them.
func checkCrashingParts(e *evidence) []violation {
	var list []violation
	for _, part := range e.crashingParts {
		var crashes []time.Time
		for _, r := range e.runs {
			if slices.Contains(r.Parts, part) && r.Crashed {
				crashes = append(crashes, r.At)
			}
		}
		if len(crashes) < crashesToLearn {
			continue
		}
		from, sends := crashes[crashesToLearn-1].Add(convergenceTime), 0
		for _, a := range e.arrivals {
			if slices.Contains(a.Parts, part) && a.At.After(from) && a.At.Before(e.partsUntil) && !e.disturbed(a.At.Add(-convergenceTime), a.At) {
				sends++
			}
		}
		if sends > sendsAfterLearning {
			list = append(list, violation{"crashing-part", fmt.Sprintf("%d requests with part %s reached servers 3 s after the fifth crash", sends, part)})
		}
	}
	return list
}

// checkLimits finds servers that got more than the limit they named, in spans without a disturbed instance.
// checkCold reports the cold servers that got more requests in a second than they bear.
func checkCold(e *evidence) []violation {
	var list []violation
	for _, v := range e.cold {
		list = append(list, violation{"cold-server", v.String()})
	}
	return list
}

func checkLimits(e *evidence) []violation {
	var list []violation
	for _, l := range e.limits {
		allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
		from := l.from.Add(convergenceTime)
		for _, first := range e.arrivals {
			begin, end := first.At, first.At.Add(limitWindow)
			if first.Server != l.server || begin.Before(from) || end.After(l.until) || e.disturbed(begin.Add(-convergenceTime), end) {
				continue
			}
			n := 0
			for _, a := range e.arrivals {
				if a.Server == l.server && !a.At.Before(begin) && a.At.Before(end) {
					n++
				}
			}
			if float64(n) > allowed {
				list = append(list, violation{"server-limit", fmt.Sprintf("%s with a limit of %.1f/s got %d requests in 4 s, %.0f are allowed", l.server, l.perSecond, n, allowed)})
				break
			}
		}
	}
	return list
}

// checkCalls finds a flood of calls to the store.
func checkCalls(e *evidence) []violation {
	for i, first := range e.calls {
		for _, last := range e.calls[i:] {
			passed := last.at.Sub(first.at)
			if n := last.calls - first.calls; passed >= callWindow && float64(n) > float64(maxCallRate*len(e.starts))*passed.Seconds() {
				return []violation{{"store-calls", fmt.Sprintf("the store got %d calls in %d ms", n, passed.Milliseconds())}}
			}
		}
	}
	return nil
}

// checkRecovery finds deployments that don't serve as usual after the faults.
func checkRecovery(o outcome) []violation {
	asked, served := 0, 0
	for _, r := range o.results {
		if r.from.Before(o.recoveredFrom) || r.bad {
			continue
		}
		asked++
		if r.answer.Complete && r.answer.Status == http.StatusOK {
			served++
		}
	}
	if asked == 0 || float64(served) < recoveredShare*float64(asked) {
		return []violation{{"no-recovery", fmt.Sprintf("%d of %d requests were served after the faults", served, asked)}}
	}
	return nil
}

// summarize returns the numbers of answers.
func summarize(o outcome) string {
	complete, refused, failed, closed := 0, 0, 0, 0
	for i := range o.results {
		switch a := o.results[i].answer; {
		case a.Complete && a.Status == http.StatusOK:
			complete++
		case a.Status == http.StatusServiceUnavailable:
			refused++
		case a.Status > 0 && a.Ended:
			failed++
		default:
			closed++
		}
	}
	return fmt.Sprintf("%d requests: %d answered, %d refused, %d failed, %d closed; %d probes", len(o.results), complete, refused, failed, closed, len(o.probes))
}

// span is a range of configurations, by their numbers, of which an instance has one.
type span struct{ oldest, newest int }

// sign returns what an answer to a probe says of the instance's configuration: older, the right ones, or newer.
func sign(r *result) (spans []span, ok bool) {
	switch r.answer.Status {
	case http.StatusOK:
		return []span{{r.marker, r.marker + markerCount - 1}}, true
	case http.StatusNotFound, http.StatusUnauthorized:
		return []span{{0, r.marker - 1}, {r.marker + markerCount, math.MaxInt}}, true
	}
	return nil, false
}

// agrees reports whether an answer to a probe is possible with one of the configurations.
func agrees(r *result, has span) bool {
	spans, ok := sign(r)
	for _, s := range spans {
		if s.oldest <= has.newest && has.oldest <= s.newest {
			return true
		}
	}
	return !ok
}

// checkConfigurations finds probes that were handled by a configuration older than the one that had to be in force, or older than one
// that the same process was seen to have.
func checkConfigurations(o outcome, e *evidence) []violation {
	var list []violation
	seen := map[string][]result{}
	for i := range o.probes {
		r := &o.probes[i]
		newest := written(e.history, r.until)
		needed := required(e.history, r.from)
		if e.inTouch(r) && !agrees(r, span{needed, newest}) {
			list = append(list, violation{"late-configuration", fmt.Sprintf(
				"%s at %s got %d for configuration %d of %d, of which %d had to be in force", r.request.Attempt, r.instance, r.answer.Status, r.marker, newest, needed,
			)})
		}
		had := e.had(r, seen[r.instance])
		if !agrees(r, span{had, newest}) {
			list = append(list, violation{"older-configuration", fmt.Sprintf(
				"%s at %s got %d for configuration %d of %d although the process had %d", r.request.Attempt, r.instance, r.answer.Status, r.marker, newest, had,
			)})
		}
		seen[r.instance] = append(seen[r.instance], *r)
	}
	return list
}

// had returns the oldest configuration that the process may have had which answered a probe, as seen by earlier ones.
func (e *evidence) had(r *result, earlier []result) int {
	had := 0
	for i := range earlier {
		p := &earlier[i]
		if !p.until.Add(rollbackTime).Before(r.from) || e.started(r.instance, p.from, r.until) {
			continue
		}
		if p.answer.Status == http.StatusOK {
			had = max(had, p.marker)
		}
	}
	return had
}

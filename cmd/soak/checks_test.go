package main

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

var errReset = errors.New("connection reset")

// planted is a correct run of three requests, into which a test plants a fault.
func planted() (outcome, evidence) {
	start := time.Unix(1_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	o := outcome{recoveredFrom: at(60)}
	for n := range 10 {
		o.probes = append(o.probes, probe(at(20+0.5*float64(n)), 1, http.StatusOK))
	}
	e := evidence{
		history: []configurationEvent{{at: start, newest: 1}}, starts: map[string][]time.Time{"one": {start}},
		leaving: map[string]time.Time{"pool-1": at(10)}, crashingParts: []string{"bad"}, partsUntil: at(100), crashes: map[string]time.Time{},
	}
	for n, attempt := range []string{"a", "b", "c"} {
		begin := at(61 + float64(n))
		o.results = append(o.results, result{
			request: emulator.Request{Attempt: attempt, Kind: emulator.KindNonIdempotent, Timeout: 4 * time.Second}, instance: "one", from: begin, until: begin.Add(time.Second),
			answer: emulator.Answer{Status: http.StatusOK, Complete: true, Ended: true},
		})
		e.runs = append(e.runs, emulator.Run{Attempt: attempt, Server: "pool-2", Kind: emulator.KindNonIdempotent, At: begin, Completed: true})
		e.arrivals = append(e.arrivals, emulator.Arrival{Server: "pool-2", At: begin})
	}
	return o, e
}

// probe is a request to instance one for what only some configurations have, and its answer.
func probe(from time.Time, marker, status int) result {
	return result{
		request: emulator.Request{Attempt: "p", Timeout: 4 * time.Second}, instance: "one", from: from, until: from.Add(100 * time.Millisecond), marker: marker,
		answer: emulator.Answer{Status: status, Complete: status == http.StatusOK, Ended: true},
	}
}

// Guards against checks that don't see what they are there for, and against those that see it where it is excused.
func TestChecks(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	disturbed := func(e *evidence) {
		e.events = append(e.events, event{kind: eventInstance, name: "one", text: "SIGKILL to one", at: start, until: at(100)})
	}
	crashes := func(e *evidence, sends int) {
		for n := range 5 {
			e.runs = append(e.runs, emulator.Run{Attempt: "x", Kind: emulator.KindStreaming, At: at(20 + float64(n)), Crashed: true, Parts: []string{"i", "bad", "o"}})
		}
		for n := range sends {
			e.arrivals = append(e.arrivals, emulator.Arrival{Server: "pool-2", At: at(28 + float64(n)), Parts: []string{"i", "bad", "o"}})
		}
	}
	limited := func(e *evidence, requests int) {
		e.limits = append(e.limits, limitEvent{server: "pool-3", perSecond: 1, from: at(10), until: at(30)})
		for n := range requests {
			e.arrivals = append(e.arrivals, emulator.Arrival{Server: "pool-3", At: at(15 + 0.2*float64(n))})
		}
	}
	written := func(e *evidence, seconds float64, newest int) {
		e.history = append(e.history, configurationEvent{at: at(seconds), newest: newest})
	}
	lost := func(e *evidence, seconds float64, newest int) {
		e.history = append(e.history, configurationEvent{at: at(seconds), newest: newest, lost: true})
	}
	probed := func(o *outcome, seconds float64, marker, status int) {
		o.probes = append(o.probes, probe(at(seconds), marker, status))
	}
	closed := func(o *outcome, e *evidence) {
		o.results[0].answer = emulator.Answer{Err: errReset}
		o.recoveredFrom = at(62)
		e.runs[0].Completed = false
	}
	calls := func(e *evidence, n int) {
		e.calls = []callCount{{at(10), 100}, {at(12), 100}, {at(14), 100 + n}, {at(20), 100 + n}}
	}
	for name, c := range map[string]struct {
		plant func(o *outcome, e *evidence)
		rule  string
	}{
		"correct":        {func(*outcome, *evidence) {}, ""},
		"partial answer": {func(o *outcome, _ *evidence) { o.results[0].answer.Complete, o.recoveredFrom = false, at(62) }, "incomplete-answer"},
		"rejected after a run": {func(o *outcome, _ *evidence) {
			o.results[0].answer = emulator.Answer{Status: 503, Ended: true}
			o.recoveredFrom = at(62)
		}, "rejected-after-run"},
		"client-error": {func(o *outcome, _ *evidence) {
			o.results[0].answer = emulator.Answer{Status: 404, Ended: true}
			o.recoveredFrom = at(62)
		}, "client-error"},
		"doubled run": {func(_ *outcome, e *evidence) { e.runs = append(e.runs, e.runs[0]) }, "duplicate-run"},
		"interrupted": {func(o *outcome, _ *evidence) {
			o.results[0].answer = emulator.Answer{Err: errReset}
			o.recoveredFrom = at(62)
		}, "interrupted"},
		"cut off by a kill": {func(o *outcome, e *evidence) {
			o.results[0].answer = emulator.Answer{Err: errReset}
			o.recoveredFrom = at(62)
			disturbed(e)
		}, ""},
		"cut off by a server": {func(o *outcome, e *evidence) {
			o.results[0].answer = emulator.Answer{Err: errReset}
			o.recoveredFrom = at(62)
			e.crashes["pool-2"] = at(61.5)
		}, ""},
		"part no longer crashes": {func(_ *outcome, e *evidence) { crashes(e, 4); e.partsUntil = at(27) }, ""},
		"leaving server": {func(_ *outcome, e *evidence) {
			e.arrivals = append(e.arrivals, emulator.Arrival{Server: "pool-1", At: at(13)})
		}, "leaving-server"},
		"leaving server in time": {func(_ *outcome, e *evidence) {
			e.arrivals = append(e.arrivals, emulator.Arrival{Server: "pool-1", At: at(11.9)})
		}, ""},
		"crashing part":          {func(_ *outcome, e *evidence) { crashes(e, 4) }, "crashing-part"},
		"crashing part learned":  {func(_ *outcome, e *evidence) { crashes(e, 3) }, ""},
		"over the limit":         {func(_ *outcome, e *evidence) { limited(e, 12) }, "server-limit"},
		"over it, but disturbed": {func(_ *outcome, e *evidence) { limited(e, 12); disturbed(e) }, ""},
		"at the limit":           {func(_ *outcome, e *evidence) { limited(e, 11) }, ""},
		"not served afterwards": {func(o *outcome, e *evidence) {
			o.results[1].answer = emulator.Answer{Status: 502, Ended: true}
			e.runs = e.runs[:1]
		}, "no-recovery"},
		"closed without an answer": {closed, "unanswered"},
		"half-sent and closed": {func(o *outcome, _ *evidence) {
			probed(o, 30, 1, 0)
			o.probes[len(o.probes)-1].answer.Err = errReset
		}, "unanswered"},
		"closed beside a kill":       {func(o *outcome, e *evidence) { closed(o, e); disturbed(e) }, ""},
		"closed after a restart":     {func(o *outcome, e *evidence) { closed(o, e); e.starts["one"] = []time.Time{start, at(59)} }, ""},
		"closed by a crashed server": {func(o *outcome, e *evidence) { closed(o, e); e.crashes["pool-2"] = at(61.5) }, ""},
		"closed by a server before":  {func(o *outcome, e *evidence) { closed(o, e); e.crashes["pool-2"] = at(60.5) }, "unanswered"},
		"crashed before it began": {func(o *outcome, e *evidence) {
			closed(o, e)
			e.arrivals = append(e.arrivals, emulator.Arrival{Attempt: "a", Server: "pool-4", At: at(61.4)})
			e.crashes["pool-4"] = at(61.5)
		}, ""},
		"broken off by a server":          {func(o *outcome, e *evidence) { closed(o, e); e.runs[0].BrokenOff = true }, ""},
		"closed at the end of its time":   {func(o *outcome, e *evidence) { closed(o, e); o.results[0].request.Timeout = time.Second }, ""},
		"added route not served":          {func(o *outcome, e *evidence) { written(e, 25, 2); probed(o, 27.1, 2, 404) }, "late-configuration"},
		"added key not known":             {func(o *outcome, e *evidence) { written(e, 25, 2); probed(o, 27.1, 2, 401) }, "late-configuration"},
		"added route not served yet":      {func(o *outcome, e *evidence) { written(e, 25, 2); probed(o, 26.9, 2, 404) }, ""},
		"added route beside a kill":       {func(o *outcome, e *evidence) { written(e, 25, 2); probed(o, 27.1, 2, 404); disturbed(e) }, ""},
		"dropped route still served":      {func(o *outcome, e *evidence) { written(e, 25, 5); probed(o, 27.1, 1, 200) }, "late-configuration"},
		"dropped route served for a time": {func(o *outcome, e *evidence) { written(e, 25, 5); probed(o, 26.9, 1, 200) }, ""},
		"dropped route denied":            {func(o *outcome, e *evidence) { written(e, 25, 5); probed(o, 27.1, 1, 404) }, ""},
		"added after the store's loss": {func(o *outcome, e *evidence) {
			written(e, 25, 2)
			lost(e, 26, 1)
			written(e, 27, 2)
			probed(o, 29.1, 2, 404)
		}, "late-configuration"},
		"lost with the store": {func(o *outcome, e *evidence) {
			written(e, 25, 2)
			lost(e, 26, 1)
			written(e, 27, 2)
			probed(o, 28.9, 2, 404)
		}, ""},
		"gone back": {func(o *outcome, e *evidence) {
			written(e, 25, 2)
			probed(o, 25.5, 2, 200)
			lost(e, 26, 1)
			probed(o, 26.5, 2, 404)
		}, "older-configuration"},
		"gone back after a restart": {func(o *outcome, e *evidence) {
			written(e, 25, 2)
			probed(o, 25.5, 2, 200)
			lost(e, 26, 1)
			e.starts["one"] = []time.Time{start, at(26.2)}
			probed(o, 26.5, 2, 404)
		}, ""},
		"not registered":  {func(_ *outcome, e *evidence) { e.unregistered = 1 }, "unregistered"},
		"calls to store":  {func(_ *outcome, e *evidence) { calls(e, 49) }, "store-calls"},
		"few store calls": {func(_ *outcome, e *evidence) { calls(e, 48) }, ""},
		"ended by itself": {func(_ *outcome, e *evidence) { e.unexpected = 1 }, "unexpected-exit"},
	} {
		t.Run(name, func(t *testing.T) {
			o, e := planted()
			c.plant(&o, &e)
			list := check(o, e)
			switch {
			case c.rule == "" && len(list) > 0:
				t.Errorf("got %v, want none", list)
			case c.rule != "" && (len(list) != 1 || list[0].rule != c.rule):
				t.Errorf("got %v, want %s", list, c.rule)
			}
		})
	}
}

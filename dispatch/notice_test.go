package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// notices returns the notices that the fleet would report to others.
func (f *fixture) notices() map[poplarwinch.UpstreamID]fleet.NoticeReport {
	list := map[poplarwinch.UpstreamID]fleet.NoticeReport{}
	for _, s := range f.fleet.Report().Servers {
		if s.Notice.Known() {
			list[s.ID] = s.Notice
		}
	}
	return list
}

// Guards against notices that are taken for those of the called server although the rejection names another one.
func TestRejectionForAnotherServer(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.answer = func(_ context.Context, n int, _ *dispatch.Call) (*dispatch.Answer, error) {
			if n == 1 {
				return nil, &dispatch.CallError{
					Failure: dispatch.FailureRefused, AtFault: "192.0.2.1:80", Cause: errors.New("scripted"),
					Notice: fleet.Notice{Leaving: true, Rest: 2000, Limit: 1},
				}
			}
			return complete(http.StatusOK, "done")
		}
		if o := f.run(t.Context(), f.request(route.KindIdempotent)); o.err != nil || len(f.notices()) > 0 {
			t.Errorf("got %+v and the notices %+v", o.err, f.notices())
		}
	})
}

// withNotice adds a notice to the result of a call.
func withNotice(n fleet.Notice, a *dispatch.Answer, err error) (*dispatch.Answer, error) {
	var failed *dispatch.CallError
	switch {
	case err == nil:
		a.Notice = n
	case errors.As(err, &failed):
		failed.Notice = n
	}
	return a, err
}

// Guards against requests, repeats and resumes that reach a server after it has said that it is leaving, in whatever answer, at an instance
// that hears nothing else of it.
func TestNoRequestToLeavingServer(t *testing.T) {
	for name, c := range map[string]struct {
		kind   route.Kind
		answer func() (*dispatch.Answer, error)
		calls  int
	}{
		"success":          {route.KindNonIdempotent, func() (*dispatch.Answer, error) { return complete(http.StatusOK, "done") }, 1},
		"failure":          {route.KindNonIdempotent, func() (*dispatch.Answer, error) { return complete(http.StatusInternalServerError, "failed") }, 1},
		"rejection":        {route.KindNonIdempotent, func() (*dispatch.Answer, error) { return failure(dispatch.FailureRefused) }, 2},
		"broken repeat":    {route.KindIdempotent, func() (*dispatch.Answer, error) { return failure(dispatch.FailureBroken) }, 2},
		"stream":           {route.KindStreaming, func() (*dispatch.Answer, error) { return complete(http.StatusOK, "id: 1\ndata: a\n\n") }, 1},
		"stream to resume": {route.KindStreaming, func() (*dispatch.Answer, error) { return broken("id: 1\ndata: a\n\n") }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, f *fixture) {
				f.answer = func(_ context.Context, n int, _ *dispatch.Call) (*dispatch.Answer, error) {
					if n > 1 {
						return complete(http.StatusOK, "id: 2\ndata: b\n\n")
					}
					a, err := c.answer()
					return withNotice(fleet.Notice{Leaving: true}, a, err)
				}
				f.run(t.Context(), f.request(c.kind))
				if len(f.calls) != c.calls {
					t.Errorf("got %d calls, want %d", len(f.calls), c.calls)
				}
				for range 30 {
					f.run(t.Context(), f.request(c.kind))
					time.Sleep(200 * time.Millisecond)
				}
				left := f.calls[0].Server.ID
				for i := range f.calls[1:] {
					if f.calls[i+1].Server.ID == left {
						t.Fatalf("call %d went to %s, which is leaving", i+2, left)
					}
				}
			})
		})
	}
}

// Guards against requests that are held while all servers of their service are leaving.
func TestAllServersLeaving(t *testing.T) {
	for _, kind := range []route.Kind{route.KindIdempotent, route.KindStreaming} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			r := f.request(kind)
			for _, c := range f.fleet.Candidates(r.Service) {
				f.fleet.Observe(c.Server, fleet.Notice{Leaving: true}, f.dispatcher.Now())
			}
			o := f.run(t.Context(), r)
			if o.err == nil || o.err.Kind != poplarwinch.KindUnavailable || o.err.Outcome != poplarwinch.OutcomeNotRun || o.err.RetryAfter == 0 {
				t.Errorf("got %+v, want a rejection with a time to retry", o.err)
			}
			if held := f.dispatcher.Now() - r.Started; held > 0 || len(f.calls) > 0 {
				t.Errorf("held for %d ms, %d calls", held, len(f.calls))
			}
		})
	}
}

// Guards against a prompt that is sent to an engine, or with a part of it to a helper, which has said that it is leaving while memory was
// reserved.
func TestEngineLeavesWhileMemoryIsReserved(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.onReserve = func() {
			s, _ := f.fleet.Server("e1")
			f.fleet.Observe(s, fleet.Notice{Leaving: true}, f.dispatcher.Now())
		}
		f.answer = func(_ context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			engines := []poplarwinch.UpstreamID{c.Server.ID}
			for _, h := range c.Helpers {
				engines = append(engines, h.ID)
			}
			if slices.Contains(engines, "e1") {
				t.Errorf("sent to %v, e1 is leaving", engines)
			}
			return complete(http.StatusOK, "id: 1\ndata: a\n\n")
		}
		r := f.request(route.KindStreaming)
		r.PromptTokens, r.Route.Target, r.Route.MaxPause, r.Deadline = 500_000, 10_000, 1000, r.Started+15_000
		if o := f.run(t.Context(), r); o.err != nil || len(f.calls) != 1 {
			t.Errorf("got %+v after %d calls", o.err, len(f.calls))
		}
	})
}

// Guards against streams that are cut because their server is leaving.
func TestStreamOfLeavingServerIsNotCut(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.answer = func(_ context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
			reader, writer := io.Pipe()
			go func() {
				for n := range 20 {
					time.Sleep(250 * time.Millisecond)
					_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", n+1)
				}
				_ = writer.Close()
			}()
			return &dispatch.Answer{Status: http.StatusOK, Length: -1, Body: reader, Notice: fleet.Notice{Leaving: true}}, nil
		}
		if o := f.run(t.Context(), f.request(route.KindStreaming)); o.err != nil || len(f.calls) != 1 || strings.Count(o.body, "data") != 20 {
			t.Errorf("got %+v, %d calls and %q", o.err, len(f.calls), o.body)
		}
	})
}

// Guards against requests that reach a server before the time is over for which it wanted none, whether it has run the request or not, and
// against servers that get none afterwards.
func TestRestingServerGetsNoRequests(t *testing.T) {
	for _, failed := range []dispatch.Failure{dispatch.FailureRefused, dispatch.FailureBroken} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			var resting poplarwinch.UpstreamID
			until, after := clock.Millis(0), 0
			f.answer = func(_ context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
				if n == 1 {
					resting, until = c.Server.ID, f.dispatcher.Now()+3000
					a, err := failure(failed)
					return withNotice(fleet.Notice{Rest: 3000}, a, err)
				}
				switch now := f.dispatcher.Now(); {
				case c.Server.ID == resting && now < until:
					t.Errorf("%s: a request reached %s %d ms before the end", failed, resting, until-now)
				case c.Server.ID == resting:
					after++
				}
				return complete(http.StatusOK, "done")
			}
			for range 100 {
				if o := f.run(t.Context(), f.request(route.KindIdempotent)); o.err != nil {
					t.Errorf("%s: got %v", failed, o.err)
				}
				time.Sleep(70 * time.Millisecond)
			}
			if after == 0 {
				t.Errorf("%s: %s gets no requests after the time", failed, resting)
			}
		})
	}
}

// Guards against requests that are held, or sent on, while all servers of their service want none, also those that were waiting already,
// and against callers that retry too early.
func TestAllServersResting(t *testing.T) {
	rests := map[poplarwinch.UpstreamID]clock.Millis{"s1": 2500, "s2": 1400, "s3": 4000, "e1": 3000, "e2": 2000, "e3": 1200, "e4": 5000}
	check := func(t *testing.T, f *fixture, o outcome, want clock.Millis, calls int) {
		t.Helper()
		if o.err == nil || o.err.Kind.Status() != http.StatusServiceUnavailable || o.err.Outcome != poplarwinch.OutcomeNotRun || o.err.RetryAfter != want {
			t.Errorf("got %+v, want a rejection with %d ms to wait", o.err, want)
		}
		if len(f.calls) != calls {
			t.Errorf("got %d calls, want %d", len(f.calls), calls)
		}
	}
	for kind, want := range map[route.Kind]clock.Millis{route.KindNonIdempotent: 1400, route.KindStreaming: 1200} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			f.answer = func(_ context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
				a, err := failure(dispatch.FailureRefused)
				return withNotice(fleet.Notice{Rest: rests[c.Server.ID]}, a, err)
			}
			servers := len(f.fleet.Candidates(f.request(kind).Service))
			r := f.request(kind)
			check(t, f, f.run(t.Context(), r), want, servers)
			check(t, f, f.run(t.Context(), f.request(kind)), want, servers)
			if held := f.dispatcher.Now() - r.Started; held > 0 {
				t.Errorf("%s: held for %d ms", kind, held)
			}
		})
	}
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		all := f.fleet.Candidates("bookings")
		for _, c := range all {
			f.fleet.Observe(c.Server, fleet.Notice{Limit: 0.5}, f.dispatcher.Now())
			f.fleet.Begin(fleet.Work{First: c.ID}).End()
			f.fleet.Begin(fleet.Work{First: c.ID}).End()
		}
		r := f.request(route.KindIdempotent)
		r.Deadline = r.Started + 12_000
		time.AfterFunc(time.Second, func() {
			for _, c := range all {
				f.fleet.Observe(c.Server, fleet.Notice{Rest: rests[c.ID]}, 0)
			}
		})
		o := f.run(t.Context(), r)
		if held := f.dispatcher.Now() - r.Started; held < 1000 || held > 1120 {
			t.Errorf("the waiting request was held for %d ms, want 1000", held)
		}
		if o.err == nil || o.err.RetryAfter < 1280 || o.err.RetryAfter > 1400 || len(f.calls) > 0 {
			t.Errorf("the waiting request got %+v, %d calls, want 1400 ms to wait", o.err, len(f.calls))
		}
	})
}

// Guards against a helper that is asked to read parts of prompts although it wants no requests, and against an engine that is blamed for that.
func TestRestingHelper(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		var first, helper poplarwinch.UpstreamID
		f.answer = func(_ context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
			if n == 1 {
				first, helper = c.Server.ID, c.Helpers[len(c.Helpers)-1].ID
				return nil, &dispatch.CallError{
					Failure: dispatch.FailureRefused, AtFault: c.Helpers[len(c.Helpers)-1].Address, Cause: errors.New("scripted"),
					Notice: fleet.Notice{Rest: 3000, Leaving: true, Limit: 1},
				}
			}
			for _, h := range c.Helpers {
				if h.ID == helper {
					t.Errorf("call %d asks %s for help", n, helper)
				}
			}
			return complete(http.StatusOK, "id: 1\ndata: a\n\n")
		}
		r := f.request(route.KindStreaming)
		r.PromptTokens, r.Route.Target, r.Route.MaxPause = 100_000, 2000, 1000
		if o := f.run(t.Context(), r); o.err != nil {
			t.Errorf("got %v", o.err)
		}
		for _, c := range f.fleet.Candidates("pool") {
			if c.ID == first && c.Resting || c.ID == helper && !c.Resting {
				t.Errorf("%s wants no requests for %d ms; %s was at fault", c.ID, c.Wait, helper)
			}
		}
		if n := f.notices(); len(n) != 1 || n[helper].Leaving.Known || n[helper].Limit.Known {
			t.Errorf("got %+v, want the time of %s only", n, helper)
		}
	})
}

package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// threeDomains lists two engines and two plain servers in each of three failure domains.
func (f *fixture) threeDomains() {
	var list []fleet.Server
	for _, d := range []poplarwinch.FailureDomain{"north", "middle", "south"} {
		for n := range 2 {
			for _, service := range []poplarwinch.ServiceName{"pool", "bookings"} {
				id := poplarwinch.UpstreamID(fmt.Sprintf("%s-%s-%d", service, d, n))
				list = append(list, fleet.Server{ID: id, Address: string(id) + ":80", Domain: d, Service: service, Slots: 16})
			}
		}
	}
	f.fleet.Apply(list)
}

// domainsOf returns the failure domains of the servers of a call.
func domainsOf(c *dispatch.Call) []poplarwinch.FailureDomain {
	list := []poplarwinch.FailureDomain{c.Server.Domain}
	for _, h := range c.Helpers {
		list = append(list, h.Domain)
	}
	return list
}

// expectNoCallsTo fails the test for calls from number n on, counted from 0, that use a server of a failure domain.
func (f *fixture) expectNoCallsTo(domain poplarwinch.FailureDomain, n int) {
	f.t.Helper()
	for i, c := range f.calls[min(n, len(f.calls)):] {
		if slices.Contains(domainsOf(&c), domain) {
			f.t.Errorf("call %d uses servers in %v", n+i+1, domainsOf(&c))
		}
	}
}

// Guards against requests that are held while all failure domains of their service are evacuated.
func TestAllDomainsEvacuated(t *testing.T) {
	for _, kind := range []route.Kind{route.KindIdempotent, route.KindNonIdempotent, route.KindStreaming} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			f.threeDomains()
			f.fleet.SetEvacuated([]poplarwinch.FailureDomain{"north", "middle", "south"})
			r := f.request(kind)
			o := f.run(t.Context(), r)
			if o.err == nil || o.err.Kind != poplarwinch.KindUnavailable || o.err.Outcome != poplarwinch.OutcomeNotRun || o.err.RetryAfter == 0 {
				t.Errorf("got %+v, want a rejection with a time to retry", o.err)
			}
			if held := f.dispatcher.Now() - r.Started; held > 0 || len(f.calls) > 0 {
				t.Errorf("held for %d ms, %d calls", held, len(f.calls))
			}
			f.fleet.SetEvacuated(nil)
		})
	}
}

// Guards against a waiting request that is held until its deadline although an evacuation has left no server for it.
func TestWaitingRequestIsRejectedWhenItsServersAreEvacuated(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		for _, id := range []poplarwinch.UpstreamID{"e1", "e2", "e3", "e4"} {
			defer f.fill(id)()
		}
		time.AfterFunc(30*time.Millisecond, func() { f.fleet.SetEvacuated([]poplarwinch.FailureDomain{"north"}) })
		r := f.request(route.KindStreaming)
		o := f.run(t.Context(), r)
		if held := f.dispatcher.Now() - r.Started; o.err == nil || o.err.Outcome != poplarwinch.OutcomeNotRun || held > 200 {
			t.Errorf("got %+v after %d ms, want a rejection right after the evacuation", o.err, held)
		}
		f.fleet.SetEvacuated(nil)
	})
}

// Guards against retries and resumed streams in a failure domain whose evacuation began during the request, for each kind of failure.
func TestRetriesAvoidEvacuatedDomains(t *testing.T) {
	for _, failed := range []dispatch.Failure{dispatch.FailureRefused, dispatch.FailureBroken, dispatch.FailureNotSent, dispatch.FailureReplaced} {
		for _, kind := range []route.Kind{route.KindIdempotent, route.KindStreaming} {
			runInVirtualTime(t, func(_ *testing.T, f *fixture) {
				f.threeDomains()
				f.answer = func(_ context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
					if n == 1 {
						f.fleet.SetEvacuated([]poplarwinch.FailureDomain{c.Server.Domain})
						if kind == route.KindStreaming && failed == dispatch.FailureBroken {
							return broken("id: 1\ndata: a\n\n")
						}
						return failure(failed)
					}
					return complete(http.StatusOK, "id: 2\ndata: b\n\n")
				}
				o := f.run(f.t.Context(), f.request(kind))
				if o.err != nil || len(f.calls) != 2 {
					f.t.Errorf("%s: got %+v after %d calls", failed, o.err, len(f.calls))
				}
				f.expectNoCallsTo(f.calls[0].Server.Domain, 1)
				f.fleet.SetEvacuated(nil)
			})
		}
	}
}

// Guards against an attempt on servers that were prepared to take over from a silent one before their failure domain was evacuated.
func TestPreparedSuccessorInAnEvacuatedDomainIsNotUsed(t *testing.T) {
	runInVirtualTime(t, func(_ *testing.T, f *fixture) {
		f.threeDomains()
		var evacuated poplarwinch.FailureDomain
		f.answer = func(ctx context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
			if n > 1 {
				return complete(http.StatusOK, "id: 1\ndata: a\n\n")
			}
			<-ctx.Done() // a successor is ready
			for _, s := range f.fleet.Candidates("pool") {
				if s.Load.Requests > 0 && s.ID != c.Server.ID {
					evacuated = s.Domain
				}
			}
			f.fleet.SetEvacuated([]poplarwinch.FailureDomain{evacuated})
			return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: context.Cause(ctx)}
		}
		o := f.run(f.t.Context(), f.request(route.KindStreaming))
		if o.err != nil || len(f.calls) != 2 || evacuated == "" {
			f.t.Errorf("got %+v after %d calls, evacuated %q", o.err, len(f.calls), evacuated)
		}
		f.expectNoCallsTo(evacuated, 1)
		f.fleet.SetEvacuated(nil)
	})
}

// Guards against a prompt that is sent to an engine, or with a part of it to a helper, whose failure domain was evacuated while memory was
// reserved.
func TestDomainEvacuatedWhileMemoryIsReserved(t *testing.T) {
	runInVirtualTime(t, func(_ *testing.T, f *fixture) {
		f.threeDomains()
		f.onReserve = func() { f.fleet.SetEvacuated([]poplarwinch.FailureDomain{"south"}) }
		f.answer = func(_ context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
			return complete(http.StatusOK, "id: 1\ndata: a\n\n")
		}
		r := f.longPrompt()
		if o := f.run(f.t.Context(), r); o.err != nil || len(f.calls) != 1 {
			f.t.Errorf("got %+v after %d calls", o.err, len(f.calls))
		}
		f.expectNoCallsTo("south", 0)
		f.fleet.SetEvacuated(nil)
	})
}

// Guards against an evacuation that ends running work: a prompt with memory reserved in the evacuated domain keeps its reservations, also
// after their first expiry, and its stream ends as it would.
func TestRunningRequestOutlivesAnEvacuation(t *testing.T) {
	runInVirtualTime(t, func(_ *testing.T, f *fixture) {
		f.reservationsUsed = true
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			f.fleet.SetEvacuated([]poplarwinch.FailureDomain{"north"})
			before := f.reservations()
			for _, h := range c.Helpers {
				_ = f.release(ctx, "", h.Reservation) // as if it had expired; a renewal brings it back
			}
			if err := f.sleep(ctx, 4*time.Second); err != nil {
				return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: err}
			}
			if after := f.reservations(); before == 0 || after != before {
				f.t.Errorf("%d reservations after 4 s, want %d", after, before)
			}
			return complete(http.StatusOK, wholeStream)
		}
		if o := f.run(f.t.Context(), f.longPrompt()); o.err != nil || o.body != wholeStream || len(f.calls) != 1 {
			f.t.Errorf("got %q and %+v after %d calls", o.body, o.err, len(f.calls))
		}
		time.Sleep(time.Second)
		f.fleet.SetEvacuated(nil)
	})
}

// Guards against reachability probes in an evacuated failure domain: of neighbours, of servers that broke off or are unreachable, and of
// silent ones. After the evacuation, unreachable servers are probed again.
func TestNoProbesInEvacuatedDomains(t *testing.T) {
	for _, failed := range []dispatch.Failure{dispatch.FailureNotSent, dispatch.FailureBroken, ""} {
		runInVirtualTime(t, func(_ *testing.T, f *fixture) {
			f.threeDomains()
			f.noRetries()
			var first poplarwinch.FailureDomain
			f.answer = func(ctx context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
				if n > 1 {
					return complete(http.StatusOK, wholeStream)
				}
				first = c.Server.Domain
				f.fleet.SetEvacuated([]poplarwinch.FailureDomain{first})
				if failed == "" {
					return silence(ctx)
				}
				return failure(failed)
			}
			_ = f.run(f.t.Context(), f.request(route.KindStreaming))
			time.Sleep(3 * time.Second)
			f.mutex.Lock()
			for _, s := range f.probed {
				if s.Domain == first {
					f.t.Errorf("%q: server %s was probed", failed, s.ID)
				}
			}
			f.mutex.Unlock()
			f.fleet.SetEvacuated(nil)
			time.Sleep(time.Second)
			for _, c := range f.fleet.Candidates("pool") {
				if c.Avoid && failed == dispatch.FailureNotSent {
					f.t.Errorf("%s is still avoided after the evacuation", c.ID)
				}
			}
		})
	}
}

// Guards against a server that is never probed because its attempt broke off while nothing may be sent after a freeze: its crash would not
// be recorded.
func TestProbeAfterHold(t *testing.T) {
	runInVirtualTime(t, func(_ *testing.T, f *fixture) {
		f.threeDomains()
		f.noRetries()
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			f.mutex.Lock()
			f.heldUntil = f.dispatcher.Now() + 1500
			f.mutex.Unlock()
			return failure(dispatch.FailureBroken)
		}
		_ = f.run(f.t.Context(), f.request(route.KindStreaming))
		time.Sleep(1400 * time.Millisecond)
		f.mutex.Lock()
		early := len(f.probed)
		f.mutex.Unlock()
		time.Sleep(200 * time.Millisecond)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if early != 0 || len(f.probed) != 1 || f.probed[0].ID != f.calls[0].Server.ID {
			f.t.Errorf("%d early probes, probed %+v, want the server of the attempt after 1.5 s", early, f.probed)
		}
	})
}

// regionOf is the region of a failure domain in these tests.
func regionOf(domain poplarwinch.FailureDomain) route.Region {
	return map[poplarwinch.FailureDomain]route.Region{"north": "eu", "middle": "us", "south": "us"}[domain]
}

// Guards against requests that reach a region which the route or the customer does not allow, at first and at later attempts, and
// against requests that are held if no server is left.
func TestAllowedRegions(t *testing.T) {
	for name, test := range map[string]struct {
		route, customer []route.Region
		evacuated       []poplarwinch.FailureDomain
		want            []poplarwinch.FailureDomain
	}{
		"no lists":                 {want: []poplarwinch.FailureDomain{"north", "middle", "south"}},
		"of the route":             {route: []route.Region{"eu"}, want: []poplarwinch.FailureDomain{"north"}},
		"of the customer":          {customer: []route.Region{"us", "eu"}, route: []route.Region{"us"}, want: []poplarwinch.FailureDomain{"middle", "south"}},
		"disjoint":                 {route: []route.Region{"eu"}, customer: []route.Region{"us"}},
		"unknown":                  {route: []route.Region{"mars"}},
		"unknown beside a known":   {route: []route.Region{"mars", "eu"}, want: []poplarwinch.FailureDomain{"north"}},
		"empty name":               {route: []route.Region{""}},
		"with an evacuated domain": {route: []route.Region{"us"}, evacuated: []poplarwinch.FailureDomain{"south"}, want: []poplarwinch.FailureDomain{"middle"}},
		"all evacuated":            {route: []route.Region{"eu"}, evacuated: []poplarwinch.FailureDomain{"north"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, kind := range []route.Kind{route.KindIdempotent, route.KindStreaming} {
				runInVirtualTime(t, func(t *testing.T, f *fixture) {
					f.threeDomains()
					f.fleet.SetEvacuated(test.evacuated)
					f.answer = func(_ context.Context, n int, _ *dispatch.Call) (*dispatch.Answer, error) {
						if n%3 != 0 {
							return failure(dispatch.FailureRefused)
						}
						return complete(http.StatusOK, wholeStream)
					}
					for range 10 {
						r := f.request(kind)
						r.Route.AllowedRegions, r.CustomerRegions = test.route, test.customer
						if kind == route.KindStreaming {
							r.PromptTokens = 60_000
						}
						o := f.run(t.Context(), r)
						if held := f.dispatcher.Now() - r.Started; len(test.want) == 0 && (o.err == nil || o.err.Outcome != poplarwinch.OutcomeNotRun || held > 0) {
							t.Errorf("got %+v after %d ms, want a rejection at once", o.err, held)
						}
					}
					for _, c := range f.calls {
						for _, d := range domainsOf(&c) {
							if !slices.Contains(test.want, d) {
								t.Errorf("a call uses a server in %s, want %v", d, test.want)
							}
						}
					}
					if len(test.want) > 0 && len(f.calls) == 0 {
						t.Error("no call was sent")
					}
					f.fleet.SetEvacuated(nil)
				})
			}
		})
	}
}

// Guards against requests, parts of prompts and reservations that an instance sends after a freeze before it knows the evacuations that it
// has missed: for a request that arrives then, and for one that waited before and gets a server meanwhile.
func TestNothingIsSentWhileAnEvacuationMayHaveBeenMissed(t *testing.T) {
	for name, r := range map[string]func(f *fixture) *dispatch.Request{
		"plain":       func(f *fixture) *dispatch.Request { return f.request(route.KindIdempotent) },
		"stream":      func(f *fixture) *dispatch.Request { return f.request(route.KindStreaming) },
		"long prompt": (*fixture).longPrompt,
	} {
		for _, waits := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, waits %t", name, waits), func(t *testing.T) {
				runInVirtualTime(t, func(t *testing.T, f *fixture) {
					f.threeDomains()
					end := func() {}
					switch {
					case waits && name == "long prompt":
						end = f.refuse()
					case waits:
						end = f.fillPool()
					}
					freeze := func() {
						f.mutex.Lock()
						f.heldUntil = f.dispatcher.Now() + 600
						f.mutex.Unlock()
						end()
						time.AfterFunc(400*time.Millisecond, func() { f.fleet.SetEvacuated([]poplarwinch.FailureDomain{"north"}) })
					}
					time.AfterFunc(10*time.Millisecond, freeze)
					f.onReserve = func() {
						if f.dispatcher.Now() < f.heldUntil {
							t.Error("a reservation was sent too early")
						}
					}
					f.answer = func(_ context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
						if left := f.hold(); left > 0 {
							t.Errorf("call %d to %s was sent %d ms too early", n, c.Server.ID, left)
						}
						return complete(http.StatusOK, wholeStream)
					}
					if !waits {
						time.Sleep(20 * time.Millisecond)
					}
					if o := f.run(t.Context(), r(f)); o.err != nil {
						t.Errorf("got %+v", o.err)
					}
					if name != "plain" || !waits {
						f.expectNoCallsTo("north", 0)
					}
					time.Sleep(time.Second)
					f.fleet.SetEvacuated(nil)
				})
			})
		}
	}
}

// refuse makes all engines refuse reservations until the returned function is called.
func (f *fixture) refuse() (end func()) {
	f.refuseReservations = true
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.refuseReservations = false
	}
}

// fillPool occupies all slots of the engines of threeDomains until the returned function is called.
func (f *fixture) fillPool() (end func()) {
	var ends []func()
	for _, c := range f.fleet.Candidates("pool") {
		ends = append(ends, f.fill(c.ID))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// Guards against a successor of a silent stream in a region that is not allowed.
func TestSuccessorIsInAnAllowedRegion(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.threeDomains()
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			for _, other := range f.fleet.Candidates("pool") {
				if other.Domain == c.Server.Domain && other.ID != c.Server.ID {
					f.fleet.Unreachable(other.Server)
				}
			}
			return resumedStream(ctx, c, silentTime)
		}
		r := f.request(route.KindStreaming)
		r.Route.AllowedRegions = []route.Region{"eu"}
		if o := f.run(t.Context(), r); o.err != nil || o.body != wholeStream {
			t.Errorf("got %q and %+v, want the whole stream", o.body, o.err)
		}
		for _, c := range f.calls {
			if !slices.Equal(domainsOf(&c), []poplarwinch.FailureDomain{"north"}) {
				t.Errorf("a call uses servers in %v", domainsOf(&c))
			}
		}
	})
}

// Guards against a predicted time to the first event that leaves out the longer path while the own failure domain is evacuated, and against
// callers of the evacuated domain that are not served.
func TestPredictedTimeOfAnEvacuatedDomainsCallers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.threeDomains()
		pool := f.table.Pools["pool"]
		pool.DomainDelayMillis = 1.5
		f.table.Pools["pool"] = pool
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return complete(http.StatusOK, wholeStream)
		}
		predict := func() clock.Millis {
			if o := f.run(t.Context(), f.request(route.KindStreaming)); o.err != nil || o.body != wholeStream {
				t.Errorf("got %q and %+v", o.body, o.err)
			}
			for _, line := range slices.Backward(f.log.Entries) {
				if line.Message == "routing decision" {
					return line.Fields["predicted-ms"].(clock.Millis)
				}
			}
			return 0
		}
		before := predict()
		f.fleet.SetEvacuated([]poplarwinch.FailureDomain{"north"})
		if during := predict(); during != before+3 {
			t.Errorf("predicted %d ms during the evacuation and %d before, want 3 ms more", during, before)
		}
		f.expectNoCallsTo("north", 1)
		f.fleet.SetEvacuated(nil)
	})
}

// Guards against requests that are rejected although their region has servers, because of a service with many servers an instance
// knows the load of few: those of its cell and those in summaries, of which there are none after a start or a cut.
func TestAllowedRegionWithoutKnownLoad(t *testing.T) {
	for _, kind := range []route.Kind{route.KindIdempotent, route.KindStreaming} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			var list []fleet.Server
			for n := range 100 {
				for _, service := range []poplarwinch.ServiceName{"pool", "bookings"} {
					id := poplarwinch.UpstreamID(fmt.Sprintf("%s-%d", service, n))
					domain := []poplarwinch.FailureDomain{"north", "south"}[n%2]
					list = append(list, fleet.Server{ID: id, Address: string(id) + ":80", Domain: domain, Service: service, Slots: 16})
				}
			}
			f.fleet.Apply(list)
			f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
				return complete(http.StatusOK, wholeStream)
			}
			r := f.request(kind)
			r.Route.AllowedRegions = []route.Region{"us"}
			if o := f.run(t.Context(), r); o.err != nil || len(f.calls) != 1 {
				t.Fatalf("got %+v, want an answer", o.err)
			}
			if d := f.calls[0].Server.Domain; d != "south" {
				t.Errorf("sent to %s", d)
			}
		})
	}
}

package dispatch_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

const (
	// contactTime is the time after enough crashes from which requests that crash servers may reach few of them.
	contactTime = 3 * clock.Second
	// mostLateArrivals is their number.
	mostLateArrivals = 3
)

// Guards against a request, or a part of prompts, that is never blocked because it crashes all servers of a failure domain, so that each
// crash is taken for a cut of the domain.
func TestCrashesOfAllServersOfADomain(t *testing.T) {
	var layouts []layout
	for _, service := range []poplarwinch.ServiceName{"bookings", "pool"} {
		for _, count := range []int{1, 2, 3} {
			for _, servers := range []int{1, 2, 3} {
				l := layout{service: service, domains: count, servers: servers, back: 3 * time.Second}
				quick, slow, elsewhere, silent := l, l, l, l
				quick.back, slow.back, elsewhere.newAddress, silent.silent = time.Second, 5*time.Second, true, true
				slow.newAddress = true
				layouts = append(layouts, l, quick, slow, elsewhere, silent)
			}
		}
	}
	for _, l := range layouts {
		for _, interval := range []time.Duration{250 * time.Millisecond, 4 * time.Second} {
			t.Run(l.String()+", every "+interval.String(), func(t *testing.T) {
				runInVirtualTime(t, func(_ *testing.T, f *fixture) { crashAgainAndAgain(newDomains(f, l), interval) })
			})
		}
	}
}

// crashAgainAndAgain plays requests that crash servers beside sound ones, and checks that they are blocked in time.
func crashAgainAndAgain(d *domains, interval time.Duration) {
	enough := 3
	if d.layout.service == "pool" {
		enough = 5
	}
	d.isBad = func(c *dispatch.Call) bool { return isBadCall(d, c) }
	var wait sync.WaitGroup
	wait.Go(func() { d.load(200*time.Millisecond, 40*time.Second, "common") })
	time.Sleep(3 * time.Second)
	d.load(interval, 37*time.Second, "common", crashingPart)
	wait.Wait()
	time.Sleep(d.layout.back + 2*time.Second)
	if n := d.lateArrivals(enough, contactTime); n > mostLateArrivals {
		d.t.Errorf("%d requests that crash servers reached one later than 3 s after crash %d, %d crashes in all; want %d at most", n, enough, len(d.crashes), mostLateArrivals)
	}
}

// isBadCall reports whether a call has the part, or is the request, that crashes servers.
func isBadCall(d *domains, c *dispatch.Call) bool {
	if d.layout.service == "pool" {
		return slices.Contains(c.SharedParts, crashingPart)
	}
	return c.Fingerprint == d.call(0, "common", crashingPart).Fingerprint
}

// Guards against sound requests and parts that are blamed because the servers that ran them were cut off with their failure domain.
func TestCutOffDomainsBlameNothing(t *testing.T) {
	for name, play := range map[string]func(d *domains){
		"once":               func(d *domains) { d.cut(0, 6*time.Second) },
		"briefly":            func(d *domains) { d.cut(0, 900*time.Millisecond) },
		"for long":           func(d *domains) { d.cut(0, 20*time.Second) },
		"in turns":           func(d *domains) { cutInTurns(d, 2*time.Second, 4*time.Second) },
		"in turns, together": func(d *domains) { cutInTurns(d, 8*time.Second, 3*time.Second) },
		"all at once": func(d *domains) {
			for n := range d.layout.domains {
				d.cut(n, 5*time.Second)
			}
		},
	} {
		for _, service := range []poplarwinch.ServiceName{"bookings", "pool"} {
			for _, servers := range []int{1, 2, 3} {
				for _, silent := range []bool{false, true} {
					l := layout{service: service, domains: 3, servers: servers, silent: silent}
					t.Run(name+", "+l.String(), func(t *testing.T) {
						runInVirtualTime(t, func(t *testing.T, f *fixture) {
							d := newDomains(f, l)
							time.AfterFunc(3*time.Second, func() { play(d) })
							if blocked := d.load(100*time.Millisecond, 40*time.Second, "common"); blocked > 0 {
								t.Errorf("%d sound requests were rejected", blocked)
							}
							suspects := quarantine.NewPromptSuspects(d.call(0, "common").Fingerprint, []poplarwinch.PromptPartID{"common"})
							for _, fingerprint := range append(suspects.Parts, suspects.Request) {
								if n := f.suspects.Deaths(fingerprint); n > 0 {
									t.Errorf("%d crashes are held against a sound request or its part", n)
								}
							}
							if known := f.suspects.Size(); known > 0 {
								t.Errorf("%d requests and parts are suspects", known)
							}
						})
					})
				}
			}
		}
	}
}

// Guards against a sound request or a common part that is rejected because servers are started again for no request's sake, and against one that
// is blamed because its failure domain was cut off for a minute.
func TestRestartsAndLongCutsBlockNothing(t *testing.T) {
	restart := func(d *domains, interval time.Duration, hosts ...int) {
		for n := range 6 * len(d.hosts) {
			for _, offset := range hosts {
				time.AfterFunc(time.Duration(n)*interval, func() { d.crash(d.hosts[(n+offset)%len(d.hosts)]) })
			}
		}
	}
	for name, play := range map[string]func(d *domains){
		"one after the other": func(d *domains) { restart(d, 2*time.Second, 0) },
		"two at a time":       func(d *domains) { restart(d, 3*time.Second, 0, 3) },
		"a minute's cut":      func(d *domains) { d.cut(0, time.Minute) },
	} {
		for _, service := range []poplarwinch.ServiceName{"bookings", "pool"} {
			for _, servers := range []int{1, 2, 3} {
				for _, sameID := range []bool{false, true} {
					l := layout{service: service, domains: 3, servers: servers, back: time.Second, sameID: sameID}
					t.Run(name+", "+l.String(), func(t *testing.T) {
						runInVirtualTime(t, func(t *testing.T, f *fixture) {
							d := newDomains(f, l)
							time.AfterFunc(time.Second, func() { play(d) })
							if blocked := d.load(200*time.Millisecond, 70*time.Second, "common"); blocked > 0 {
								t.Errorf("%d sound requests were rejected", blocked)
							}
						})
					})
				}
			}
		}
	}
}

// cutInTurns cuts off one failure domain after the other, twice each.
func cutInTurns(d *domains, length, interval time.Duration) {
	for n := range 2 * d.layout.domains {
		time.AfterFunc(time.Duration(n)*interval, func() { d.cut(n, length) })
	}
}

// Guards against a crash that isn't recorded because the server was started again at once, so that the first probe finds it alive.
func TestCrashOfAServerThatIsStartedAgainAtOnce(t *testing.T) {
	for _, back := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			d := newDomains(f, layout{service: "bookings", domains: 1, servers: 2, back: back, sameID: true})
			d.isBad = func(c *dispatch.Call) bool { return isBadCall(d, c) }
			bad := d.call(0, "common", crashingPart)
			bad.Route.MaxAttempts = 1
			d.run(t.Context(), bad)
			time.Sleep(2 * time.Second)
			if n := f.suspects.Deaths(bad.Fingerprint); n != 1 {
				t.Errorf("started again after %s: %d crashes are recorded, want 1", back, n)
			}
		})
	}
}

// Guards against servers that answer with errors, or break off answers, and are taken for crashed ones when they are started again long
// after that.
func TestErrorsBeforeARestartAreNoCrash(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		d := newDomains(f, layout{service: "bookings", domains: 1, servers: 1, back: time.Second, sameID: true})
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return failure(dispatch.FailureBroken)
		}
		r := d.call(0, "common")
		d.run(t.Context(), r)
		time.Sleep(2 * time.Second)
		d.crash(d.hosts[0])
		time.Sleep(3 * time.Second)
		if n := f.suspects.Size(); n != 0 {
			t.Errorf("%d requests are suspects", n)
		}
	})
}

// Guards against a process that runs out of memory because a failure domain with many requests is cut off for long.
func TestAttemptsOfACutOffDomainAreBounded(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		d := newDomains(f, layout{service: "bookings", domains: 1, servers: 1, back: time.Second})
		d.hosts[0].up = false
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return failure(dispatch.FailureBroken)
		}
		for range 5000 {
			r := d.call(0, "common")
			r.Route.MaxAttempts = 1
			d.run(t.Context(), r)
		}
		metrics := &strings.Builder{}
		f.dispatcher.WriteMetrics(metrics)
		if !strings.Contains(metrics.String(), `poplarwinch_broken_attempts_dropped_total{service="bookings"} 3976`) {
			t.Errorf("got the metrics %s, want 3976 dropped attempts of 5000", metrics)
		}
		d.start(d.hosts[0])
		if n := f.suspects.Deaths(d.call(0, "common").Fingerprint); n != 1 {
			t.Errorf("%d crashes are recorded, want 1", n)
		}
	})
}

// Guards against a request, or a part of prompts, that is never blocked because the servers it crashes start again under their ids, so that
// several crashes of a server count as one.
func TestCrashesOfServersThatStartAgainUnderTheirIDs(t *testing.T) {
	for _, service := range []poplarwinch.ServiceName{"bookings", "pool"} {
		for _, count := range []int{1, 2, 3} {
			for _, servers := range []int{1, 2} {
				for _, back := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
					l := layout{service: service, domains: count, servers: servers, back: back, sameID: true}
					t.Run(l.String(), func(t *testing.T) {
						runInVirtualTime(t, func(_ *testing.T, f *fixture) { crashAgainAndAgain(newDomains(f, l), 250*time.Millisecond) })
					})
				}
			}
		}
	}
}

// Guards against a silent attempt that waits until its deadline for a server that was started again, since its probes are answered by the
// new start.
func TestSilentAttemptEndsWithTheStartOfItsServer(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		d := newDomains(f, layout{service: "bookings", domains: 1, servers: 1, back: 200 * time.Millisecond, sameID: true})
		silent := true
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			if silent {
				silent = false
				time.AfterFunc(serviceTime/2, func() { d.crash(d.hosts[0]) })
				return silence(ctx)
			}
			return d.serve(ctx, c)
		}
		if o := d.run(t.Context(), d.call(0, "common")); o.err != nil {
			t.Errorf("got %v, want an answer of the new start", o.err)
		}
	})
}

// Guards against crashes of a server that count as one because the list has the entry of a start before, as when the store is slow.
func TestCrashesOfAServerWhoseEntryIsOld(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		d := newDomains(f, layout{service: "bookings", domains: 1, servers: 2, back: time.Hour, sameID: true})
		d.isBad = func(c *dispatch.Call) bool { return isBadCall(d, c) }
		bad := d.call(0, "common", crashingPart)
		bad.Route.MaxAttempts = 1
		entry := d.hosts[0].server
		for range 2 {
			d.fleet.Apply([]fleet.Server{entry, {ID: "other", Address: d.hosts[1].server.Address, Domain: entry.Domain, Service: "pool"}})
			bad.Started = f.dispatcher.Now()
			bad.Deadline = bad.Started + 4000
			d.run(t.Context(), bad)
			time.Sleep(1500 * time.Millisecond)
			d.mutex.Lock()
			d.hosts[0].up, d.hosts[0].broken = true, make(chan struct{}) // it is started again, and its entry isn't written
			d.mutex.Unlock()
			time.Sleep(1500 * time.Millisecond)
		}
		if n := f.suspects.Deaths(bad.Fingerprint); n != 2 {
			t.Errorf("%d crashes are recorded, want 2", n)
		}
	})
}

package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Guards against detecting a leaving, dead or unresponsive upstream later than after 3 s, and against marking one down
// or dead because of a single broken or stalled connection.
func TestWatcherFollowsUpstreamWithin3Seconds(t *testing.T) {
	hang := func(ctx context.Context) (Health, error) { <-ctx.Done(); return Health{}, ctx.Err() }
	ignore := func(context.Context) (Health, error) { time.Sleep(time.Hour); return Health{}, nil }
	reply := func(h Health) func(context.Context) (Health, error) {
		return func(context.Context) (Health, error) { return h, nil }
	}
	fail := func(err error) func(context.Context) (Health, error) {
		return func(context.Context) (Health, error) { return Health{}, err }
	}
	healthy := Health{Ready: true, BootID: "b1", Models: models}
	for name, c := range map[string]struct {
		reused, fresh func(context.Context) (Health, error)
		owned         bool
		want          State
		deaths        int
	}{
		"leaving reply":                          {reply(Health{Ready: true, Leaving: true, BootID: "b1"}), fail(errors.New("unused")), true, StateLeaving, 0},
		"leaving, old connection hangs":          {hang, reply(Health{Leaving: true, BootID: "b1"}), true, StateLeaving, 0},
		"leaving, old connection ignores cancel": {ignore, reply(Health{Leaving: true, BootID: "b1"}), true, StateLeaving, 0},
		"leaving, watchers of the domain gone":   {reply(Health{Leaving: true, BootID: "b1"}), hang, false, StateLeaving, 0},
		"old connection fails, fresh one works":  {fail(syscall.ECONNRESET), reply(healthy), true, StateUp, 0},
		"silent":                                 {hang, hang, true, StateDown, 0},
		"refused":                                {fail(syscall.ECONNREFUSED), fail(syscall.ECONNREFUSED), true, StateDown, 1},
		"changed boot id":                        {reply(Health{Ready: true, BootID: "b2"}), nil, true, StateUp, 1},
		"not ready":                              {reply(Health{BootID: "b1"}), nil, true, StateDown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var broadcasts atomic.Int32
				r := New(WithOnLeaving(func([]Observation) { broadcasts.Add(1) }))
				w := NewWatcher(r)
				var deaths atomic.Int32
				w.OnDeath = func(EndedProcess) { deaths.Add(1) }
				w.Watches = func(poplarwinch.UpstreamID) bool { return c.owned }
				var changed atomic.Bool
				w.Health = func(ctx context.Context, _ *Upstream, fresh bool) (Health, error) {
					switch {
					case !changed.Load():
						return healthy, nil
					case fresh:
						return c.fresh(ctx)
					}
					return c.reused(ctx)
				}
				w.Load = func(context.Context, *Upstream) (Load, error) { return Load{PrefillTokensPerSecond: 7}, nil }
				r.Apply([]Listed{engineEntry("e")})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- w.Run(ctx) }()
				time.Sleep(1900 * time.Millisecond)
				u, _ := r.Snapshot().Lookup("e")
				if u.State() != StateUp || u.Load().PrefillTokensPerSecond != 7 {
					t.Fatalf("before the change: state %s, load %v", u.State(), u.Load())
				}
				changed.Store(true)
				time.Sleep(3 * time.Second)
				if u.State() != c.want || int(deaths.Load()) != c.deaths {
					t.Errorf("state %s and %d deaths, want %s and %d", u.State(), deaths.Load(), c.want, c.deaths)
				}
				if want := map[bool]int32{true: 1}[c.want == StateLeaving]; broadcasts.Load() != want {
					t.Errorf("%d broadcasts to peers, want %d", broadcasts.Load(), want)
				}
				cancel()
				if err := <-ended; !errors.Is(err, context.Canceled) {
					t.Errorf("Run() = %v", err)
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// Guards against a slow load report that delays the state observed by the same probe.
func TestSlowLoadDoesNotDelayState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		w := NewWatcher(r)
		w.Health = func(context.Context, *Upstream, bool) (Health, error) { return Health{Leaving: true}, nil }
		w.Load = func(ctx context.Context, _ *Upstream) (Load, error) { <-ctx.Done(); return Load{}, ctx.Err() }
		r.Apply([]Listed{engineEntry("e")})
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(clock.Millis(10).Duration())
		if u, _ := r.Snapshot().Lookup("e"); u.State() != StateLeaving {
			t.Errorf("state %s, want %s", u.State(), StateLeaving)
		}
		cancel()
		synctest.Wait()
	})
}

package admission

import (
	"context"
	"errors"
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
)

// The property tests use a fixed seed so that every run checks the same cases.
func init() { flag.Set("rapid.seed", "1") }

// fixture is a controller whose forecast is set by the test.
type fixture struct {
	*Controller
	// wait is the predicted wait in milliseconds; a negative one means that no engine is known.
	wait atomic.Int64
	// rate is the prefill rate of all engines in tokens per second.
	rate int64
}

func newFixture(t rapid.TB, opts ...Option) *fixture {
	f := &fixture{rate: 100_000}
	f.Controller = New(append([]Option{
		WithViolated(func(name, detail string) { t.Errorf("invariant %s broken: %s", name, detail) }),
		WithForecast(func(p *routing.Prompt) (routing.Forecast, bool) {
			wait := clock.Millis(f.wait.Load())
			return routing.Forecast{TimeToFirstToken: wait + clock.Millis(p.Tokens/100), Wait: wait, TokensPerSecond: f.rate}, wait >= 0
		}),
	}, opts...)...)
	return f
}

func (f *fixture) request(customer poplarwinch.CustomerID, tokens poplarwinch.Tokens, limit clock.Millis) Request {
	p := &routing.Prompt{Customer: customer, Model: "drafting", Tokens: tokens, Class: routing.ClassOf(tokens)}
	return Request{Prompt: p, Deadline: f.clock.Now() + limit}
}

// kindOf returns the kind of a complete not-run error, or the empty kind.
func kindOf(err error) poplarwinch.Kind {
	var typed *poplarwinch.Error
	if errors.As(err, &typed) && typed.Outcome == poplarwinch.OutcomeNotRun && typed.Remedy != "" {
		return typed.Kind
	}
	return ""
}

// Guards against admitting requests that will miss their deadline, and against wrong error kinds.
func TestDecisionsWithoutWaiting(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		ctx   context.Context
		wait  int64
		limit clock.Millis
		quota Request
		want  poplarwinch.Kind
		retry clock.Millis
	}{
		"idle":                     {wait: 0, limit: 1000},
		"short wait":               {wait: 500, limit: 1000},
		"no engine known":          {wait: -1, limit: 1000},
		"deadline missed":          {wait: 20_000, limit: 15_000, want: poplarwinch.KindOverloaded, retry: 5010},
		"deadline just missed":     {wait: 1000, limit: 1000, want: poplarwinch.KindOverloaded, retry: 1000},
		"too many requests":        {limit: 1000, quota: Request{MaxRequests: 1}, want: poplarwinch.KindOverQuota, retry: 1000},
		"too many tokens":          {limit: 1000, quota: Request{MaxTokens: 1999}, want: poplarwinch.KindOverQuota, retry: 1000},
		"tokens within the limit":  {limit: 1000, quota: Request{MaxTokens: 2000, MaxRequests: 2}},
		"ended before the request": {ctx: canceled, limit: 1000, want: poplarwinch.KindDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, WithClock(clock.NewManual(1_000_000).Clock()))
			first, err := f.Admit(context.Background(), f.request("a", 1000, 10_000))
			if err != nil {
				t.Fatal(err)
			}
			f.wait.Store(c.wait)
			r := f.request("a", 1000, c.limit)
			r.MaxRequests, r.MaxTokens = c.quota.MaxRequests, c.quota.MaxTokens
			ctx := c.ctx
			if ctx == nil {
				ctx = context.Background()
			}
			release, err := f.Admit(ctx, r)
			var typed *poplarwinch.Error
			if kindOf(err) != c.want || errors.As(err, &typed) && typed.RetryAfter != c.retry {
				t.Fatalf("Admit() = %+v, want kind %q and Retry-After %d ms", err, c.want, c.retry)
			}
			if err == nil {
				release()
				release()
			}
			first()
			if requests, tokens := f.InFlight(); requests != 0 || tokens != 0 {
				t.Fatalf("%d requests and %d tokens remain", requests, tokens)
			}
		})
	}
}

// Guards against waits that continue after their context or deadline, and against a queue that does not drain when the
// load falls.
func TestWaitsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.wait.Store(2000)
		results := make([]error, 4)
		var group sync.WaitGroup
		admit := func(i int, limit clock.Millis, timeout time.Duration) {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				_, results[i] = f.Admit(ctx, f.request("a", 1000, limit))
			})
		}
		admit(0, 60_000, time.Hour)
		admit(1, 60_000, time.Second)
		admit(2, 4000, time.Hour)
		admit(3, 60_000, time.Hour)
		time.Sleep(3 * time.Second)
		if n := f.Waiting(); n != 2 {
			t.Errorf("%d requests wait, want those with long limits", n)
		}
		f.wait.Store(0)
		group.Wait()
		want := []poplarwinch.Kind{"", poplarwinch.KindDeadlineExceeded, poplarwinch.KindOverloaded, ""}
		for i, err := range results {
			if kindOf(err) != want[i] || want[i] == "" && err != nil {
				t.Errorf("request %d: %v, want kind %q", i, err, want[i])
			}
		}
		if requests, _ := f.InFlight(); f.Waiting() != 0 || requests != 2 {
			t.Errorf("%d waiting and %d admitted, want 0 and 2", f.Waiting(), requests)
		}
	})
}

// Guards against a customer that gets more than its share by sending more requests or longer prompts.
func TestCustomersShareByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.wait.Store(1000)
		var served [3]atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for i, c := range []struct {
			customer poplarwinch.CustomerID
			tokens   poplarwinch.Tokens
			weight   int
			count    int
		}{{"heavy", 1000, 3, 300}, {"light", 1000, 1, 100}, {"long-prompts", 4000, 1, 100}} {
			for range c.count {
				group.Go(func() {
					r := f.request(c.customer, c.tokens, clock.Hour)
					r.Weight = c.weight
					if _, err := f.Admit(ctx, r); err == nil {
						served[i].Add(int64(c.tokens))
					}
				})
			}
		}
		synctest.Wait()
		f.wait.Store(100)
		time.Sleep(2 * time.Second)
		cancel()
		group.Wait()
		heavy, light, long := served[0].Load(), served[1].Load(), served[2].Load()
		if light < 40_000 || heavy < light*28/10 || heavy > light*32/10 || long < light*9/10 || long > light*11/10 {
			t.Errorf("served %d, %d and %d tokens, want about 3:1:1", heavy, light, long)
		}
	})
}

// Guards against rejecting short prompts while longer ones are queued, and against an unbounded queue.
func TestFullQueueRejectsLongestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, WithQueueLimit(2))
		f.wait.Store(5000)
		results := make([]error, 5)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for i, tokens := range []poplarwinch.Tokens{100_000, 20_000, 100, 100, 100} {
			group.Go(func() { _, results[i] = f.Admit(ctx, f.request("a", tokens, clock.Hour)) })
			synctest.Wait()
		}
		cancel()
		group.Wait()
		for i, want := range []poplarwinch.Kind{
			poplarwinch.KindOverloaded, poplarwinch.KindOverloaded,
			poplarwinch.KindDeadlineExceeded, poplarwinch.KindDeadlineExceeded, poplarwinch.KindOverloaded,
		} {
			if kindOf(results[i]) != want {
				t.Errorf("request %d: %v, want kind %s", i, results[i], want)
			}
		}
	})
}

// Guards against admitting long prompts while short ones are queued.
func TestLongPromptsYieldToWaitingShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.wait.Store(1500) // above the limit for short prompts, below that for long ones
		var admitted atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		for _, tokens := range []poplarwinch.Tokens{100, 100_000} {
			go func() {
				if _, err := f.Admit(ctx, f.request("a", tokens, clock.Hour)); err == nil {
					admitted.Add(int64(tokens))
				}
			}()
			time.Sleep(time.Second)
		}
		if n := admitted.Load(); n != 0 || f.Waiting() != 2 {
			t.Errorf("a prompt of %d tokens was admitted, %d wait", n, f.Waiting())
		}
		f.wait.Store(400)
		time.Sleep(time.Second)
		if n := admitted.Load(); n != 100_100 {
			t.Errorf("%d tokens were admitted after the wait fell, want both prompts", n)
		}
		cancel()
	})
}

// Guards against locking for a request that is admitted immediately.
func TestUnsaturatedPathTakesNoLock(t *testing.T) {
	f := newFixture(t)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	release, err := f.Admit(context.Background(), f.request("a", 1000, clock.Minute))
	if err != nil {
		t.Fatal(err)
	}
	release()
}

// Guards against concurrent requests that exceed a limit, and against tokens that are not released.
func TestLimitsHoldUnderConcurrency(t *testing.T) {
	f := newFixture(t)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 500 {
				r := f.request("a", 10, clock.Minute)
				r.MaxRequests, r.MaxTokens = 5, 40
				release, err := f.Admit(context.Background(), r)
				if requests, tokens := f.InFlight(); requests > 4 || tokens > 40 {
					t.Errorf("%d requests with %d tokens in flight", requests, tokens)
				}
				if err == nil {
					release()
				}
			}
		})
	}
	group.Wait()
	if requests, tokens := f.InFlight(); requests != 0 || tokens != 0 {
		t.Fatalf("%d requests and %d tokens remain", requests, tokens)
	}
}

// Guards against a per-second minimum that adds to the credit, and against a retry storm after a long time without retries.
func TestRetryBudgetInOneSecond(t *testing.T) {
	for requests, want := range map[int]int{0: 3, 20: 3, 100: 10, 100_000: 100} {
		b := NewRetryBudget(clock.NewManual(1_000_000).Clock())
		for range requests {
			b.Earn()
		}
		got := 0
		for b.Take() {
			got++
		}
		if got != want {
			t.Errorf("%d retries after %d requests, want %d", got, requests, want)
		}
	}
}

// Guards against an invariant check that misses an extra release, or a release of other tokens than were added.
func TestAccountDetectsInconsistency(t *testing.T) {
	for name, removed := range map[string][]int64{"as added": {10, 5}, "too many": {10, 5, 5}, "too few tokens": {10, 4}, "too many tokens": {16}} {
		a, consistent := &account{}, true
		a.add(10, 0, 0)
		a.add(5, 0, 0)
		for _, tokens := range removed {
			consistent = a.remove(tokens) && consistent
		}
		if want := name == "as added"; consistent != want {
			t.Errorf("%s: consistent is %v, want %v", name, consistent, want)
		}
	}
}

// Guards against retries beyond 10% of the requests, and against an instance with few requests that may not retry.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := clock.NewManual(1_000_000)
		b := NewRetryBudget(m.Clock())
		requests, retries, seconds := 0, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 200).Draw(t, "n") {
					requests++
					b.Earn()
				}
			},
			"retries": func(t *rapid.T) {
				for i := range rapid.IntRange(1, 50).Draw(t, "n") {
					if b.Take() {
						retries++
					} else if i == 0 && retries == 0 {
						t.Fatal("the first retry was refused")
					}
				}
			},
			"second": func(*rapid.T) { m.Advance(clock.Second); seconds++ },
			"": func(t *rapid.T) {
				if limit := requests/10 + 3*(seconds+1); retries > limit {
					t.Fatalf("%d retries for %d requests in %d s", retries, requests, seconds)
				}
			},
		})
		m.Advance(clock.Second)
		for i := range 3 {
			if !b.Take() {
				t.Fatalf("retry %d of a second was refused", i+1)
			}
		}
	})
}

// BenchmarkAdmit measures the admission of a request that does not queue.
func BenchmarkAdmit(b *testing.B) {
	f := newFixture(b)
	r := f.request("a", 1000, clock.Hour)
	b.ReportAllocs()
	for b.Loop() {
		release, err := f.Admit(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}

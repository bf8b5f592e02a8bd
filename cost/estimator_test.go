package cost_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
)

func request(customer string) *cost.Request {
	return &cost.Request{Service: "bookings", Route: "r", Customer: poplarwinch.CustomerID(customer), Method: "POST", Size: 300}
}

// serve plays a request at a server that takes a time.
func serve(m *clock.Manual, e *cost.Estimator, r *cost.Request, s cost.Server, millis float64) {
	n, sentAt := e.Begin(r, s), m.Now()
	m.Advance(clock.Millis(millis))
	n.Complete(sentAt)
}

func drawn(random *rand.Rand, median float64) float64 {
	millis := median * math.Exp(0.5*random.NormFloat64())
	if random.IntN(100) == 0 {
		millis *= 5
	}
	return max(math.Round(millis), 1)
}

// near reports whether a value is within a factor of another.
func near(value, want, factor float64) bool { return value < want*factor && value > want/factor }

// Guards against an instance that learns too slowly: with a request every 8 s it has to know the service's time and a server that is
// three times as slow within 5 min, and a prediction must not be made of fewer samples than 3.
func TestLearnsFromFewRequests(t *testing.T) {
	known, slow := 0, 0
	for seed := range uint64(20) {
		random, m := rand.New(rand.NewPCG(seed, 1)), clock.NewManual(1_000_000)
		e := cost.New(m.Clock(), "a")
		for n := range 40 {
			if p := e.Predict(request("c")); p.Known() != (n >= 3) {
				t.Fatalf("known %t after %d samples", p.Known(), n)
			}
			id := n % 5
			median := 30.0
			if id == 0 {
				median = 90
			}
			serve(m, e, request("c"), cost.Server{ID: poplarwinch.UpstreamID(fmt.Sprint(id)), Domain: "a"}, drawn(random, median))
			m.Advance(8 * clock.Second)
		}
		if p := e.Predict(request("c")); near(p.Median, 37, 1.4) {
			known++
		}
		if e.Pace("0", 0) > 1.3*e.Pace("1", 0) {
			slow++
		}
	}
	if known < 18 || slow < 18 {
		t.Errorf("of 20 instances, %d know the time and %d the slow server", known, slow)
	}
}

// Guards against servers that look fast or slow for long because of quick errors, one very long request, a time in which they were new
// or cold, or an earlier process.
func TestPaceIsRobust(t *testing.T) {
	random, m := rand.New(rand.NewPCG(1, 1)), clock.NewManual(1_000_000)
	e := cost.New(m.Clock(), "a")
	s := cost.Server{ID: "s", Domain: "a", Boot: 1}
	for range 40 {
		serve(m, e, request("c"), s, drawn(random, 30))
		serve(m, e, request("c"), cost.Server{ID: "o", Domain: "a"}, drawn(random, 30))
		m.Advance(2 * clock.Second)
	}
	before := e.Pace("s", 1)
	for range 50 {
		e.Begin(request("c"), s).End()
	}
	cold := s
	cold.Cold = true
	serve(m, e, request("c"), cold, 4000)
	if after := e.Pace("s", 1); !near(after, before, 1.05) {
		t.Errorf("pace %.2f, was %.2f before errors and a cold request", after, before)
	}
	serve(m, e, request("c"), s, 9000)
	if after := e.Pace("s", 1); !near(after, before, 1.15) {
		t.Errorf("pace %.2f, was %.2f before a long request", after, before)
	}
	s.Boot = 2
	serve(m, e, request("c"), s, 900)
	if after := e.Pace("s", 2); after != 1 {
		t.Errorf("pace %.2f of a new process, want 1", after)
	}
}

// Guards against a customer whose cost stays wrong after it changes, and against one that spoils the prediction for others.
func TestFollowsChangedCustomer(t *testing.T) {
	random, m := rand.New(rand.NewPCG(1, 1)), clock.NewManual(1_000_000)
	e := cost.New(m.Clock(), "a")
	play := func(median float64) {
		for n := range 200 {
			customer, millis := fmt.Sprint(n%10), 20.0
			if n%10 == 0 {
				millis = median
			}
			serve(m, e, request(customer), cost.Server{ID: "s", Domain: "a"}, drawn(random, millis))
			m.Advance(clock.Second)
		}
	}
	play(20)
	play(1000)
	if p := e.Predict(request("0")); !near(p.Median, 1000, 2) {
		t.Errorf("%.0f ms predicted 20 requests after a change to 1000 ms", p.Median)
	}
	if p := e.Predict(request("1")); !near(p.Median, 20, 1.5) {
		t.Errorf("%.0f ms predicted for a customer with 20 ms", p.Median)
	}
}

// Guards against samples that contain a time in which this instance was frozen.
func TestSamplesOverAFreezeDontCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var offset atomic.Int64
		c := clock.System().WithOffset(func() clock.Millis { return clock.Millis(offset.Load()) })
		e := cost.New(c, "a")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go e.Run(ctx)
		sample := func(frozen int64) {
			n, sentAt := e.Begin(request("c"), cost.Server{ID: "s", Domain: "a"}), c.Now()
			time.Sleep(20 * time.Millisecond)
			offset.Add(frozen)
			n.Complete(sentAt)
			time.Sleep(time.Second)
		}
		for range 20 {
			sample(0)
			sample(3000)
		}
		if p := e.Predict(request("c")); !near(p.Median, 20, 1.01) {
			t.Errorf("%.0f ms predicted, want 20", p.Median)
		}
	})
}

// Guards against engines whose first event is predicted wrongly for good, corrections without bounds, and answers that are taken to be
// longer than announced.
func TestEngineCorrection(t *testing.T) {
	m := clock.NewManual(1_000_000)
	e := cost.New(m.Clock(), "a")
	if p := e.PredictEngine(request("c")); p.FirstEventFactor != 1 || p.AnswerShare != 1 {
		t.Errorf("got %+v before anything was learned", p)
	}
	for _, c := range []struct {
		actual clock.Millis
		want   float64
	}{{140, 1.4}, {1000, 2}, {10, 0.5}} {
		for range 200 {
			e.LearnEngine(request("c"), cost.EngineOutcome{FirstEvent: c.actual, PredictedFirstEvent: 100, AnswerTokens: 300, MaxAnswerTokens: 1000, Total: 900})
			m.Advance(clock.Second)
		}
		if p := e.PredictEngine(request("c")); !near(p.FirstEventFactor, c.want, 1.05) || p.AnswerShare > 0.7 || p.AnswerShare < 0.3 {
			t.Errorf("got %+v with first events after %d ms", p, c.actual)
		}
	}
}

// Guards against a fixed preference for the own failure domain when the way is short, and against none when nothing was measured.
func TestExtraTimeOfTheWay(t *testing.T) {
	random, m := rand.New(rand.NewPCG(1, 1)), clock.NewManual(1_000_000)
	e := cost.New(m.Clock(), "a")
	if got := e.Extra("b", 12); got != 12 {
		t.Errorf("%.1f ms without samples, want the assumed 12", got)
	}
	for range 400 {
		serve(m, e, request("c"), cost.Server{ID: "s", Domain: "a"}, drawn(random, 30))
		serve(m, e, request("c"), cost.Server{ID: "o", Domain: "b"}, drawn(random, 30)+25)
		m.Advance(clock.Second)
	}
	if got := e.Extra("b", 1); got < 12 || got > 35 {
		t.Errorf("%.1f ms measured, want about 25", got)
	}
	if got := e.Extra("a", 1); got != 0 {
		t.Errorf("%.1f ms in the own failure domain", got)
	}
}

// Guards against memory that grows with the number of customers, routes or servers.
func TestMemoryIsBounded(t *testing.T) {
	m := clock.NewManual(1_000_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	e := cost.New(m.Clock(), "a")
	for n := range 100_000 {
		r := request(fmt.Sprint("customer-", n%4400))
		r.Size = int64(1) << (n % 13)
		serve(m, e, r, cost.Server{ID: poplarwinch.UpstreamID(fmt.Sprint("server-", n%2000)), Domain: "a"}, 20)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if bytes := int64(after.HeapAlloc) - int64(before.HeapAlloc); bytes > 4<<20 {
		t.Errorf("%d bytes used, want at most 4 MiB", bytes)
	} else {
		t.Logf("%d bytes used", bytes)
	}
	if p := e.Predict(request("customer-1")); !p.Known() {
		t.Error("the service's own key was dropped")
	}
}

func benchmarkEstimator() (*cost.Estimator, []*cost.Request) {
	e := cost.New(clock.Monotonic(), "a")
	var requests []*cost.Request
	for n := range 4400 {
		requests = append(requests, request(fmt.Sprint("customer-", n)))
	}
	for range 4 {
		for n, r := range requests {
			e.Begin(r, cost.Server{ID: poplarwinch.UpstreamID(fmt.Sprint("server-", n%2000)), Domain: "a"}).Complete(0)
		}
	}
	return e, requests
}

func BenchmarkPredict(b *testing.B) {
	e, requests := benchmarkEstimator()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		e.Predict(requests[n%len(requests)])
	}
}

func BenchmarkPredictEngine(b *testing.B) {
	e, requests := benchmarkEstimator()
	for n := 0; b.Loop(); n++ {
		e.PredictEngine(requests[n%len(requests)])
	}
}

func BenchmarkCompleted(b *testing.B) {
	e, requests := benchmarkEstimator()
	now := clock.Monotonic().Now()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		e.Begin(requests[n%len(requests)], cost.Server{ID: "server-7", Domain: "a"}).Complete(now)
	}
}

func BenchmarkCompletedEngine(b *testing.B) {
	e, requests := benchmarkEstimator()
	for n := 0; b.Loop(); n++ {
		e.LearnEngine(requests[n%len(requests)], cost.EngineOutcome{FirstEvent: 90, PredictedFirstEvent: 100, AnswerTokens: 3, MaxAnswerTokens: 9, Total: 900})
	}
}

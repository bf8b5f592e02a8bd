package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/route"
)

// busyEngine leaves the fixture one engine that has n running requests, and returns a function that ends one of them.
func (f *fixture) busyEngine(n int) (end func()) {
	f.fleet.Apply([]fleet.Server{{ID: "e1", Address: "e1:80", Domain: "north", Service: "pool", Slots: 16}})
	var tickets []*fleet.Ticket
	for range n {
		t := f.fleet.Begin(fleet.Work{First: "e1"})
		t.FirstEvent()
		tickets = append(tickets, t)
	}
	return func() {
		tickets[0].End()
		tickets = tickets[1:]
	}
}

// prioritized returns a prompt of a class and customer.
func (f *fixture) prioritized(class int, customer string) *dispatch.Request {
	r := f.request(route.KindStreaming)
	r.Customer, r.Priority = poplarwinch.CustomerID(customer), &route.Priority{Class: class, Urgency: class, Ordered: true}
	r.Route.Name, r.Route.Target, r.Route.MaxPause = fmt.Sprint("class-", class), 4000, 0
	r.Fingerprint = quarantine.FingerprintOf(r.Customer, poplarwinch.ModelName(r.Route.Name), nil)
	return r
}

// runAll runs requests in the background and returns a function that waits for their end.
func (f *fixture) runAll(list ...*dispatch.Request) (wait func() []outcome) {
	outcomes := make([]outcome, len(list))
	var runs sync.WaitGroup
	for n, r := range list {
		runs.Go(func() { outcomes[n] = f.run(f.t.Context(), r) })
	}
	return func() []outcome {
		runs.Wait()
		return outcomes
	}
}

// Guards against whoever asks first being served first: urgent requests, and small customers within a class, get the slots that become
// free.
func TestWaitingRequestsRunInOrder(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		end := f.busyEngine(15)
		var mutex sync.Mutex
		order := ""
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			mutex.Lock()
			order += fmt.Sprintf("%d%s ", c.Priority.Class, c.Customer)
			mutex.Unlock()
			body, writer := io.Pipe()
			go func() {
				_, _ = io.WriteString(writer, "id: 1\ndata: a\n\n")
				_ = f.sleep(ctx, 5*time.Second)
				_ = writer.Close()
			}()
			return &dispatch.Answer{Status: http.StatusOK, Length: -1, Body: body}, nil
		}
		var list []*dispatch.Request
		for range 6 {
			list = append(list, f.prioritized(1, "large"))
		}
		wait := f.runAll(list...)
		time.Sleep(60 * time.Millisecond)
		waitUrgent := f.runAll(f.prioritized(1, "small"), f.prioritized(0, "urgent"), f.prioritized(0, "urgent"))
		for range 5 {
			time.Sleep(57 * time.Millisecond)
			end()
		}
		time.Sleep(57 * time.Millisecond)
		mutex.Lock()
		got := order
		mutex.Unlock()
		if want := "0urgent 0urgent 1large 1small 1large "; got != want && got != "0urgent 0urgent 1small 1large 1large " {
			t.Errorf("sent %s, want %s", got, want)
		}
		for range 10 {
			end()
		}
		for _, o := range append(wait(), waitUrgent()...) {
			if o.err != nil {
				t.Errorf("got %+v", o.err)
			}
		}
	})
}

// Guards against a prompt that can't run, here because its memory is refused, and holds up others behind it.
func TestBlockedRequestHoldsUpNoOther(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.refuseReservations = true
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return complete(http.StatusOK, "id: 1\ndata: a\n\n")
		}
		long := f.longPrompt()
		long.Priority, long.Route.Target = &route.Priority{Ordered: true}, 15_000
		wait := f.runAll(long)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		o := f.run(t.Context(), f.prioritized(3, "c"))
		if took := time.Since(began); o.err != nil || took > 20*time.Millisecond {
			t.Errorf("got %+v after %s", o.err, took)
		}
		// Guards against holding the long prompt for longer, as decisions see enough free memory.
		if got := wait()[0]; got.err == nil || got.err.Kind != poplarwinch.KindOverloaded || time.Since(began) > 8*time.Second {
			t.Errorf("the long prompt got %+v after %s, want a rejection after half of 15 s", got.err, time.Since(began))
		}
	})
}

// Guards against less urgent requests that take the last capacity from more urgent ones at other instances, and against those that hold
// them up although there is enough, for good, or while silent.
func TestCapacityIsLeftToUrgentRequests(t *testing.T) {
	for name, c := range map[string]struct {
		class, running, waiting int
		silent                  time.Duration
		service                 poplarwinch.ServiceName
		held                    bool
	}{
		"last slots":    {1, 12, 5, 0, "pool", true},
		"enough":        {1, 4, 5, 0, "pool", false},
		"as urgent":     {0, 12, 5, 0, "pool", false},
		"other service": {1, 12, 5, 0, "bookings", false},
		"silent peer":   {1, 12, 5, 3100 * time.Millisecond, "pool", false},
	} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			end := f.busyEngine(c.running)
			f.fleet.Merge("peer", fleet.Report{Waiting: []fleet.WaitingCount{{Service: c.service, Counts: fleet.ClassCounts{c.waiting}}}})
			time.Sleep(c.silent)
			var sentAt time.Time
			f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
				sentAt = time.Now()
				return complete(http.StatusOK, "id: 1\ndata: a\n\n")
			}
			began := time.Now()
			o := f.run(t.Context(), f.prioritized(c.class, "c"))
			for range c.running {
				end()
			}
			held := sentAt.Sub(began)
			if o.err != nil || (held > 0) != c.held || held > 60*time.Millisecond {
				t.Errorf("%s: held for %s (%+v), want %t and 60 ms at most", name, held, o.err, c.held)
			}
		})
	}
}

// Guards against requests that stay in the order after their callers have gone or the instance rejects waiting requests.
func TestWaitingRequestsLeave(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		end := f.busyEngine(15)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		var runs sync.WaitGroup
		for n := range 20 {
			runs.Go(func() { f.run(ctx, f.prioritized(n%3, fmt.Sprint(n))) })
		}
		wait := f.runAll(f.prioritized(2, "last"))
		runs.Wait()
		if got := f.fleet.Waiting(); got != 1 {
			t.Errorf("%d requests wait, want 1", got)
		}
		f.dispatcher.RejectWaiting()
		if o := wait()[0]; o.err == nil || o.err.Outcome != poplarwinch.OutcomeNotRun {
			t.Errorf("got %+v, want a rejection", o.err)
		}
		for range 15 {
			end()
		}
	})
}

// Guards against requests that wait for a limit until half of their patience has passed although those before them need all that it
// allows, and against urgent ones that are rejected because of others.
func TestRejectedWhileManyWaitForLimit(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.fleet.Apply([]fleet.Server{{ID: "s1", Address: "s1:80", Domain: "north", Service: "bookings", Slots: 6}})
		limit := fleet.Notice{Limit: 5}
		f.fleet.Observe(f.fleet.Candidates("bookings")[0].Server, limit, f.dispatcher.Now())
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			a, err := complete(http.StatusOK, "x")
			return withNotice(limit, a, err)
		}
		request := func(class int) *dispatch.Request {
			r := f.request(route.KindIdempotent)
			r.Priority = &route.Priority{Class: class, Ordered: true}
			r.Route.Name, r.Route.Target = fmt.Sprint("class-", class), 1000
			return r
		}
		var runs sync.WaitGroup
		var served, late atomic.Int64
		for range 20 {
			runs.Go(func() {
				began := time.Now()
				o := f.run(t.Context(), request(1))
				if o.err == nil {
					served.Add(1)
				} else if time.Since(began) > 100*time.Millisecond || o.err.RetryAfter < clock.Second {
					late.Add(1)
				}
			})
			time.Sleep(time.Millisecond)
		}
		if o := f.run(t.Context(), request(0)); o.err != nil {
			t.Errorf("the urgent request got %+v", o.err)
		}
		runs.Wait()
		// The limit allows 2 at once and 5 a second, and requests are held for 2 s at most. One of them was the urgent one.
		if served.Load() < 10 || late.Load() > 1 {
			t.Errorf("%d of 20 were served and %d rejected late, want 10 and the one whose place the urgent one took", served.Load(), late.Load())
		}
	})
}

// Guards against a request that is not tried although a server has become free, because one like it waits for servers in a region that
// its customer allows.
func TestRequestsOfOtherRegionsHoldUpNoOther(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.fleet.Apply([]fleet.Server{
			{ID: "e1", Address: "e1:80", Domain: "north", Service: "pool", Slots: 16},
			{ID: "e2", Address: "e2:80", Domain: "middle", Service: "pool", Slots: 16},
		})
		endNorth, endMiddle := f.fill("e1"), f.fill("e2")
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return complete(http.StatusOK, "id: 1\ndata: a\n\n")
		}
		restricted := f.prioritized(0, "restricted")
		restricted.CustomerRegions = []route.Region{"eu"}
		waitRestricted := f.runAll(restricted)
		time.Sleep(10 * time.Millisecond)
		wait := f.runAll(f.prioritized(0, "other"))
		time.Sleep(100 * time.Millisecond)
		endMiddle()
		began := time.Now()
		if o := wait()[0]; o.err != nil || time.Since(began) > 100*time.Millisecond {
			t.Errorf("got %+v %s after an engine became free", o.err, time.Since(began))
		}
		endNorth()
		if o := waitRestricted()[0]; o.err != nil {
			t.Errorf("the restricted request got %+v", o.err)
		}
	})
}

// Guards against a request that leaves free capacity to more urgent ones for longer than they need to take it, because a longer prompt of
// its kind, which has no capacity, begins the time anew.
func TestLongerPromptDoesNotExtendTheHold(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		end := f.busyEngine(11)
		large := f.fleet.Begin(fleet.Work{First: "e1", Memory: 390_000})
		large.FirstEvent()
		f.fleet.Merge("peer", fleet.Report{Waiting: []fleet.WaitingCount{{Service: "pool", Counts: fleet.ClassCounts{5}}}})
		var sentAt time.Time
		f.answer = func(_ context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			if c.PromptTokens == 5000 {
				sentAt = time.Now()
			}
			return complete(http.StatusOK, "id: 1\ndata: a\n\n")
		}
		long := f.prioritized(1, "a")
		long.PromptTokens = 100_000
		waitLong := f.runAll(long)
		time.Sleep(10 * time.Millisecond)
		if n := f.fleet.Waiting(); n != 6 {
			t.Fatalf("%d requests wait, want the long prompt and 5 at the peer", n)
		}
		began := time.Now()
		if o := f.run(t.Context(), f.prioritized(1, "b")); o.err != nil || sentAt.Sub(began) > 60*time.Millisecond {
			t.Errorf("held for %s (%+v), want 60 ms at most", sentAt.Sub(began), o.err)
		}
		for range 11 {
			end()
		}
		large.End()
		waitLong()
	})
}

// Guards against a request that is rejected because many wait before it although these wait for servers in another region.
func TestRequestsOfOtherRegionsAreNotAhead(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.fleet.Apply([]fleet.Server{
			{ID: "s1", Address: "s1:80", Domain: "north", Service: "bookings", Slots: 6},
			{ID: "s2", Address: "s2:80", Domain: "middle", Service: "bookings", Slots: 6},
		})
		limit := fleet.Notice{Limit: 5}
		for _, s := range f.fleet.Candidates("bookings") {
			f.fleet.Observe(s.Server, limit, f.dispatcher.Now())
		}
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			a, err := complete(http.StatusOK, "x")
			return withNotice(limit, a, err)
		}
		request := func(region route.Region) *dispatch.Request {
			r := f.request(route.KindIdempotent)
			r.Priority, r.CustomerRegions, r.Route.Target = &route.Priority{Ordered: true}, []route.Region{region}, 1000
			return r
		}
		for range 2 { // what the limit of s2 allows at once
			f.run(t.Context(), request("us"))
		}
		var list []*dispatch.Request
		for range 30 {
			list = append(list, request("eu"))
		}
		wait := f.runAll(list...)
		time.Sleep(time.Millisecond)
		if o := f.run(t.Context(), request("us")); o.err != nil {
			t.Errorf("got %+v, want an answer once the limit allows it", o.err)
		}
		wait()
	})
}

package queue_test

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/queue"
)

// item returns a short prompt of a class and customer with a target of 300 ms and a patience of 2 s.
func item(class int, customer string, arrived clock.Millis) *queue.Item {
	return &queue.Item{
		Service: "pool", Customer: poplarwinch.CustomerID(customer), Class: class, Route: fmt.Sprint(class), Cost: 30, Lead: 30,
		Arrived: arrived, Target: arrived + 300, GivesUp: arrived + 2000,
	}
}

// startUpTo starts items in order until n have started, and returns them.
func startUpTo(q *queue.Queue, n int, now clock.Millis) []*queue.Item {
	p := q.Pass(now)
	var started []*queue.Item
	for len(started) < n {
		i := p.Next()
		if i == nil {
			break
		}
		q.Started(i, now)
		q.Remove(i)
		started = append(started, i)
	}
	return started
}

// Guards against a large customer that pushes out the others of its class, and against shares that reach across classes.
func TestShares(t *testing.T) {
	q := queue.New()
	for n := range 60 {
		q.Add(item(1, "large", clock.Millis(n)))
	}
	for n := range 4 {
		q.Add(item(1, "small", clock.Millis(60+n)))
		q.Add(item(0, "large", clock.Millis(60+n)))
	}
	got := ""
	for _, i := range startUpTo(q, 13, 70) {
		got += fmt.Sprintf("%d%c", i.Class, i.Customer[0])
	}
	if want := "0l0l0l0l1l1s1l1s1l1s1l1s1l"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against requests of the least urgent class that wait without end behind a flood of urgent ones, and against a flood of them that
// takes more than the share of aged ones.
func TestAging(t *testing.T) {
	for name, perStep := range map[string]int{"few": 1, "flood": 20} {
		q := queue.New()
		longest, aged, started := clock.Millis(0), 0, 0
		for now := clock.Millis(0); now < 20_000; now += 100 {
			for range 10 {
				q.Add(item(0, "a", now))
			}
			for range perStep {
				q.Add(item(3, "b", now))
			}
			for _, i := range startUpTo(q, 9, now) {
				started++
				if i.Class == 3 {
					aged++
					longest = max(longest, now-i.Arrived)
				}
			}
		}
		// Aged from 750 ms on, and then at least one of eight starts of nine in 100 ms.
		if name == "few" && longest > 1000 {
			t.Errorf("%s: the longest wait was %d ms, want 1000", name, longest)
		}
		if share := float64(aged) / float64(started); share > 0.13 {
			t.Errorf("%s: got %.3f of the starts, want an eighth at most", name, share)
		}
	}
}

// Guards against requests that can't run and hold up others that can, or cost a decision each.
func TestBlockedItemsAreSkipped(t *testing.T) {
	q := queue.New()
	for range 400 {
		long := item(0, "a", 0)
		long.Route, long.Cost, long.Target, long.GivesUp = "long", 4000, 5000, 16_000
		q.Add(long)
	}
	last, other := item(3, "b", 0), item(0, "a", 0)
	other.Service = "bookings"
	q.Add(last)
	q.Add(other)
	p := q.Pass(10)
	decisions, ran := 0, map[*queue.Item]bool{}
	for i := p.Next(); i != nil; i = p.Next() {
		if decisions++; i.Route == "long" {
			p.Failed(i)
			continue
		}
		ran[i] = true
	}
	if !ran[last] || !ran[other] || decisions != 3 {
		t.Errorf("%d decisions, want 3; ran: %t, %t", decisions, ran[last], ran[other])
	}
}

// Guards against a request that is not tried because one whose caller gives up sooner can't run: it can't wait for the load of a server.
func TestItemsOfShorterPatienceHoldUpNoOther(t *testing.T) {
	q := queue.New()
	hurried, patient := item(0, "a", 0), item(0, "b", 1)
	hurried.GivesUp = 700
	q.Add(hurried)
	q.Add(patient)
	p := q.Pass(10)
	if i := p.Next(); i != hurried {
		t.Fatalf("got %+v first", i)
	}
	p.Failed(hurried)
	if i := p.Next(); i != patient {
		t.Errorf("got %+v, want the patient request", i)
	}
}

// Guards against late rejections: a request that may be rejected gets each decision although one like it can't run.
func TestEndingItemsAreTried(t *testing.T) {
	q := queue.New()
	for range 5 {
		q.Add(item(0, "a", 0))
	}
	p, decisions := q.Pass(1000), 0
	for i := p.Next(); i != nil; i = p.Next() {
		p.Failed(i)
		decisions++
	}
	if decisions != 5 {
		t.Errorf("got %d decisions, want 5", decisions)
	}
}

// Guards against new requests that overtake waiting ones before these had their turn, or wait behind less urgent ones.
func TestMayOvertake(t *testing.T) {
	q := queue.New()
	q.Add(item(1, "a", 0))
	if !q.MayOvertake(item(1, "b", 10), 10) {
		t.Error("the waiting request can't run, but holds up another one")
	}
	q.CapacityChanged()
	for class, want := range []bool{true, false, false} {
		if got := q.MayOvertake(item(class, "b", 10), 10); got != want {
			t.Errorf("class %d: got %t, want %t", class, got, want)
		}
	}
	other := item(2, "b", 10)
	other.Service = "bookings"
	if !q.MayOvertake(other, 10) {
		t.Error("a request waits for the turn of another service")
	}
	p := q.Pass(10)
	p.Failed(p.Next())
	if !q.MayOvertake(item(1, "b", 10), 10) {
		t.Error("a request that had its turn holds up another one")
	}
}

// BenchmarkPass shows what the order of 500 waiting requests of 50 customers costs in a pass in which none can run, beside the decisions.
func BenchmarkPass(b *testing.B) {
	q := queue.New()
	for n := range 500 {
		q.Add(item(n%4, fmt.Sprint(n%50), clock.Millis(n/10)))
	}
	b.ReportAllocs()
	for b.Loop() {
		p := q.Pass(100)
		for i := p.Next(); i != nil; i = p.Next() {
			p.Failed(i)
		}
	}
}

// BenchmarkMayOvertake shows what 500 waiting requests add to the decision on a new one.
func BenchmarkMayOvertake(b *testing.B) {
	q := queue.New()
	for n := range 500 {
		q.Add(item(n%4, fmt.Sprint(n%50), clock.Millis(n/10)))
	}
	fresh := item(3, "x", 100)
	for b.Loop() {
		q.MayOvertake(fresh, 100)
	}
}

package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// Guards against requests of one service that hold up those of another, and against a silent instance that holds up others for good.
func TestWaitingBefore(t *testing.T) {
	w := newFixture()
	w.Merge("peer", fleet.Report{Waiting: []fleet.WaitingCount{
		{Service: "pool", Counts: fleet.ClassCounts{2, 3, 0, 1}}, {Service: "bookings", Counts: fleet.ClassCounts{7}}, {Counts: fleet.ClassCounts{9}},
	}})
	for class, want := range []int{0, 2, 5, 5} {
		if got := w.WaitingBefore("pool", class); got != want {
			t.Errorf("class %d: got %d, want %d", class, got, want)
		}
	}
	if got := w.WaitingBefore("other", 3); got != 0 {
		t.Errorf("other service: got %d", got)
	}
	if got := w.WaitingPeers(); got != 1 {
		t.Errorf("got %d peers, want 1", got)
	}
	w.time.Advance(3001)
	if before, peers := w.WaitingBefore("pool", 3), w.WaitingPeers(); before != 0 || peers != 0 {
		t.Errorf("after 3 s of silence: got %d requests at %d peers", before, peers)
	}
}

// Guards against reports that grow with the number of services or forget waiting requests.
func TestReportedWaitingIsBounded(t *testing.T) {
	w := newFixture()
	var ends []func()
	for i := range 9 {
		ends = append(ends, w.CountWaitingClass(poplarwinch.ServiceName(fmt.Sprint("s", i)), i%4))
	}
	ends = append(ends, w.CountWaiting())
	list := w.Report().Waiting
	sum := 0
	for _, c := range list {
		for _, n := range c.Counts {
			sum += n
		}
	}
	urgent := []poplarwinch.ServiceName{"s0", "s4", "s8"}
	for _, service := range urgent {
		if !slices.ContainsFunc(list, func(c fleet.WaitingCount) bool { return c.Service == service && c.Counts == fleet.ClassCounts{1} }) {
			t.Errorf("%s is missing in %+v", service, list)
		}
	}
	if len(list) != 5 || sum != 10 {
		t.Errorf("got %d entries with %d requests, want 5 with 10", len(list), sum)
	}
	for _, end := range ends {
		end()
	}
	if list := w.Report().Waiting; list != nil {
		t.Errorf("after the end: got %+v", list)
	}
}

// Guards against a datagram for each waiting request, and against peers that learn of waiting requests with the next heartbeat only.
func TestNoticesOfWaitingRequests(t *testing.T) {
	w := newFixture()
	for range 100 {
		w.CountWaitingClass("pool", 0)()
		w.time.Advance(10)
	}
	if n := len(w.notified); n != 2 {
		t.Errorf("peers were notified %d times within a second, want 2", n)
	}
}

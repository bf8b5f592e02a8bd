package table_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	emulator "github.com/poplarwinch/poplarwinch/emulator/table"
	"github.com/poplarwinch/poplarwinch/table"
)

// timeout is far above the time of a call on loopback, so that only calls without an answer reach it.
const timeout = time.Second

func start(t *testing.T) (*emulator.Server, *table.Table) {
	t.Helper()
	s := emulator.New()
	h := httptest.NewServer(s)
	t.Cleanup(func() {
		s.Close()
		h.Close()
	})
	return s, table.New(table.WithEndpoint(h.URL), table.WithTimeout(timeout))
}

func put(t *testing.T, c *table.Table, row table.Row) {
	t.Helper()
	if err := c.Put(context.Background(), row, table.Condition{}); err != nil {
		t.Fatalf("Put() = %v", err)
	}
}

// category names the class of an error, which decides what a caller of the client may do next.
func category(err error) string {
	var uncertain *table.UncertainError
	var unavailable *table.UnavailableError
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, table.ErrConditionFailed):
		return "condition failed"
	case errors.As(err, &uncertain):
		return "uncertain"
	case errors.As(err, &unavailable):
		return "unavailable"
	}
	return "other: " + err.Error()
}

// A condition that the service evaluates differently from Condition.Holds would let two attempts claim one call.
func TestConditions(t *testing.T) {
	row := table.Row{Key: "k", Body: []byte(`{"a":1}`), Version: 7, Attempt: "one", State: "sending"}
	for name, condition := range map[string]table.Condition{
		"always": {}, "absent": table.Absent(),
		"same version": table.VersionIs(7), "other version": table.VersionIs(8), "version zero": table.VersionIs(0),
		"same attempt": table.AttemptIs("one"), "other attempt": table.AttemptIs("two"),
		"same state": table.StateIs("sending", "one"), "other state": table.StateIs("closed", "one"),
		"other writer": table.StateIs("sending", "two"),
	} {
		for _, exists := range []bool{false, true} {
			for operation, write := range map[string]func(*table.Table) error{
				"put": func(c *table.Table) error {
					return c.Put(context.Background(), table.Row{Key: "k", Version: 9}, condition)
				},
				"delete": func(c *table.Table) error { return c.Delete(context.Background(), "k", condition) },
			} {
				_, c := start(t)
				if exists {
					put(t, c, row)
				}
				want := "condition failed"
				if condition.Holds(row, exists) {
					want = "done"
				}
				if got := category(write(c)); got != want {
					t.Errorf("%s, %s, exists=%v: %s, want %s", name, operation, exists, got, want)
				}
			}
		}
	}
}

// An attribute that is lost or changed on the way would lose a claim or a recorded answer.
func TestRowRoundTrip(t *testing.T) {
	_, c := start(t)
	want := table.Row{Key: "claim/a%2F/ü", Body: []byte(`{"b":"\u0000ü"}`), Version: 1<<64 - 1, Attempt: "one", State: "done"}
	put(t, c, want)
	got, exists, err := c.Get(context.Background(), want.Key)
	if err != nil || !exists || got.Key != want.Key || string(got.Body) != string(want.Body) || got.Version != want.Version ||
		got.Attempt != want.Attempt || got.State != want.State {
		t.Fatalf("Get() = %+v, %v, %v; want %+v", got, exists, err, want)
	}
	if _, exists, err := c.Get(context.Background(), "other"); exists || err != nil {
		t.Fatalf("Get(other) = %v, %v; want no row", exists, err)
	}
}

// An error in the wrong class makes a caller repeat a write that took effect, or give up a claim that it holds.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		faults      fault.Faults
		write, read string
		applied     bool
	}{
		"none":             {write: "done", read: "done", applied: true},
		"lost reply":       {faults: fault.Faults{LoseReply: true}, write: "uncertain", read: "unavailable", applied: true},
		"late reply":       {faults: fault.Faults{DelayAfter: 3 * clock.Second}, write: "uncertain", read: "unavailable", applied: true},
		"late write":       {faults: fault.Faults{DelayBefore: 1300}, write: "uncertain", read: "unavailable"},
		"503":              {faults: fault.Faults{Outage: fault.Unavailable}, write: "uncertain", read: "unavailable"},
		"silent":           {faults: fault.Faults{Outage: fault.Silent}, write: "uncertain", read: "unavailable"},
		"silent writes":    {faults: fault.Faults{Outage: fault.Silent, AppliesTo: fault.Writes}, write: "uncertain", read: "done"},
		"write rate":       {faults: fault.Faults{WritesPerSecond: 0.001}, write: "unavailable", read: "done"},
		"read rate":        {faults: fault.Faults{ReadsPerSecond: 0.001}, write: "done", read: "unavailable", applied: true},
		"stale, but asked": {faults: fault.Faults{Stale: clock.Hour}, write: "done", read: "done", applied: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c := start(t)
			put(t, c, table.Row{Key: "old"})
			if _, _, err := c.Get(context.Background(), "old"); err != nil {
				t.Fatal(err)
			}
			s.SetFaults(test.faults)
			if got := category(c.Put(context.Background(), table.Row{Key: "new"}, table.Absent())); got != test.write {
				t.Errorf("Put(): %s, want %s", got, test.write)
			}
			_, exists, err := c.Get(context.Background(), "old")
			if got := category(err); got != test.read || got == "done" && !exists {
				t.Errorf("Get(): %s (exists %v), want %s", got, exists, test.read)
			}
			s.SetFaults(fault.Faults{})
			if _, exists, err := c.Get(context.Background(), "new"); err != nil || exists != test.applied && name != "late write" {
				t.Errorf("after the fault: exists %v, %v; want %v", exists, err, test.applied)
			}
		})
	}
}

// A write that takes effect after its client gave up must be visible as such: claims guard against it.
func TestLateWriteTakesEffect(t *testing.T) {
	s, c := start(t)
	s.SetFaults(fault.Faults{DelayBefore: clock.FromDuration(timeout) + 300, AppliesTo: fault.Writes})
	if got := category(c.Put(context.Background(), table.Row{Key: "k"}, table.Absent())); got != "uncertain" {
		t.Fatalf("Put(): %s, want uncertain", got)
	}
	for {
		_, exists, err := c.Get(context.Background(), "k")
		if err != nil {
			t.Fatal(err)
		}
		if exists {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A write that fails before it is sent must count as certain, or an outage leaves uncertain claims behind.
func TestNotSent(t *testing.T) {
	h := httptest.NewServer(nil)
	h.Close()
	refused := table.New(table.WithEndpoint(h.URL))
	if got := category(refused.Put(context.Background(), table.Row{Key: "k"}, table.Absent())); got != "unavailable" {
		t.Errorf("connection refused: %s, want unavailable", got)
	}
	s, c := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got := category(c.Put(ctx, table.Row{Key: "k"}, table.Absent())); got != "unavailable" {
		t.Errorf("context ended: %s, want unavailable", got)
	}
	if n := s.Record().Writes; n != 0 {
		t.Errorf("%d writes arrived, want none", n)
	}
}

// A connection that stopped delivering data must cost one call, not all later ones.
func TestStalledConnections(t *testing.T) {
	s, c := start(t)
	put(t, c, table.Row{Key: "k"})
	s.SetFaults(fault.Faults{StallConnections: true})
	if got := category(c.Put(context.Background(), table.Row{Key: "k"}, table.Condition{})); got != "uncertain" {
		t.Fatalf("Put() over the stalled connection: %s, want uncertain", got)
	}
	put(t, c, table.Row{Key: "k"})
}

// A contended claim must not cost a new connection for each failed condition.
func TestFailedConditionKeepsConnection(t *testing.T) {
	var opened atomic.Int64
	h := httptest.NewUnstartedServer(emulator.New())
	h.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	h.Start()
	defer h.Close()
	c := table.New(table.WithEndpoint(h.URL))
	for range 5 {
		if got := category(c.Put(context.Background(), table.Row{Key: "k"}, table.VersionIs(1))); got != "condition failed" {
			t.Fatalf("Put(): %s", got)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// A client that repeats calls on its own would apply a write twice and multiply the load during an outage.
func TestSendsOnce(t *testing.T) {
	for _, f := range []fault.Faults{{Outage: fault.Unavailable}, {LoseReply: true}, {WritesPerSecond: 0.001}} {
		s, c := start(t)
		put(t, c, table.Row{Key: "k"})
		s.SetFaults(f)
		if err := c.Put(context.Background(), table.Row{Key: "k"}, table.Condition{}); err == nil {
			t.Fatal("Put() succeeded during the fault")
		}
		if n := s.Record().Writes; n != 2 {
			t.Errorf("%+v: %d writes arrived, want 2", f, n)
		}
	}
}

// A restore must bring the emulator's old state back, or tests of restores pass without one.
func TestRestore(t *testing.T) {
	m := clock.NewManual(1_000_000)
	s := emulator.New(emulator.WithClock(m.Clock()))
	h := httptest.NewServer(s)
	defer h.Close()
	c := table.New(table.WithEndpoint(h.URL))
	put(t, c, table.Row{Key: "k", Version: 1})
	m.Advance(clock.Minute)
	put(t, c, table.Row{Key: "k", Version: 2})
	s.SetFaults(fault.Faults{Restore: 30 * clock.Second})
	if row, _, err := c.Get(context.Background(), "k"); err != nil || row.Version != 1 {
		t.Fatalf("Get() = %+v, %v; want version 1", row, err)
	}
}

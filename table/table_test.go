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

// timeout is far longer than a call over loopback takes, so that only calls without a response time out.
const timeout = time.Second

// startEmulator returns an emulator of the table service and a client of it.
func startEmulator(t *testing.T) (*emulator.Server, *table.Table) {
	t.Helper()
	server := emulator.New()
	httpServer := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		httpServer.Close()
	})
	return server, table.New(table.WithEndpoint(httpServer.URL), table.WithTimeout(timeout))
}

// mustPut writes a row without a condition.
func mustPut(t *testing.T, client *table.Table, row table.Row) {
	t.Helper()
	if err := client.Put(context.Background(), row, table.Condition{}); err != nil {
		t.Fatalf("Put() = %v", err)
	}
}

// errorClass names the class of an error, on which the further actions of a caller depend.
func errorClass(err error) string {
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

// Guards against a condition that the service evaluates differently from Condition.Holds, which would let two attempts
// claim one call.
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
				"put": func(client *table.Table) error {
					return client.Put(context.Background(), table.Row{Key: "k", Version: 9}, condition)
				},
				"delete": func(client *table.Table) error { return client.Delete(context.Background(), "k", condition) },
			} {
				_, client := startEmulator(t)
				if exists {
					mustPut(t, client, row)
				}
				want := "condition failed"
				if condition.Holds(row, exists) {
					want = "done"
				}
				if got := errorClass(write(client)); got != want {
					t.Errorf("%s, %s, exists=%v: %s, want %s", name, operation, exists, got, want)
				}
			}
		}
	}
}

// Guards against an attribute that is lost or changed between client and service, with which a claim or a recorded
// answer would be lost.
func TestRowRoundTrip(t *testing.T) {
	_, client := startEmulator(t)
	want := table.Row{Key: "claim/a%2F/ü", Body: []byte(`{"b":"\u0000ü"}`), Version: 1<<64 - 1, Attempt: "one", State: "done"}
	mustPut(t, client, want)
	got, exists, err := client.Get(context.Background(), want.Key)
	if err != nil || !exists || got.Key != want.Key || string(got.Body) != string(want.Body) || got.Version != want.Version ||
		got.Attempt != want.Attempt || got.State != want.State {
		t.Fatalf("Get() = %+v, %v, %v; want %+v", got, exists, err, want)
	}
	if _, exists, err := client.Get(context.Background(), "other"); exists || err != nil {
		t.Fatalf("Get(other) = %v, %v; want no row", exists, err)
	}
}

// Guards against an error in the wrong class, which makes a caller repeat a write that took effect, or give up a claim
// that it holds.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		faults      fault.Faults
		write, read string
		applied     bool
	}{
		"none":             {write: "done", read: "done", applied: true},
		"lost reply":       {faults: fault.Faults{DropReply: true}, write: "uncertain", read: "unavailable", applied: true},
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
			server, client := startEmulator(t)
			mustPut(t, client, table.Row{Key: "old"})
			if _, _, err := client.Get(context.Background(), "old"); err != nil {
				t.Fatal(err)
			}
			server.SetFaults(test.faults)
			if got := errorClass(client.Put(context.Background(), table.Row{Key: "new"}, table.Absent())); got != test.write {
				t.Errorf("Put(): %s, want %s", got, test.write)
			}
			_, exists, err := client.Get(context.Background(), "old")
			if got := errorClass(err); got != test.read || got == "done" && !exists {
				t.Errorf("Get(): %s (exists %v), want %s", got, exists, test.read)
			}
			server.SetFaults(fault.Faults{})
			if _, exists, err := client.Get(context.Background(), "new"); err != nil || exists != test.applied && name != "late write" {
				t.Errorf("after the fault: exists %v, %v; want %v", exists, err, test.applied)
			}
		})
	}
}

// Guards against an emulator that does not apply a write after its client timed out, on which tests of late claims
// depend.
func TestLateWriteTakesEffect(t *testing.T) {
	server, client := startEmulator(t)
	server.SetFaults(fault.Faults{DelayBefore: clock.FromDuration(timeout) + 300, AppliesTo: fault.Writes})
	if got := errorClass(client.Put(context.Background(), table.Row{Key: "k"}, table.Absent())); got != "uncertain" {
		t.Fatalf("Put(): %s, want uncertain", got)
	}
	for {
		_, exists, err := client.Get(context.Background(), "k")
		if err != nil {
			t.Fatal(err)
		}
		if exists {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a write that fails before it is sent and counts as uncertain, so that an outage leaves uncertain
// claims behind.
func TestNotSent(t *testing.T) {
	httpServer := httptest.NewServer(nil)
	httpServer.Close()
	refused := table.New(table.WithEndpoint(httpServer.URL))
	if got := errorClass(refused.Put(context.Background(), table.Row{Key: "k"}, table.Absent())); got != "unavailable" {
		t.Errorf("connection refused: %s, want unavailable", got)
	}
	server, client := startEmulator(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got := errorClass(client.Put(ctx, table.Row{Key: "k"}, table.Absent())); got != "unavailable" {
		t.Errorf("context ended: %s, want unavailable", got)
	}
	if n := server.Record().Writes; n != 0 {
		t.Errorf("%d writes arrived, want none", n)
	}
}

// Guards against a connection that stopped delivering data and fails more than the one call that runs over it.
func TestStalledConnections(t *testing.T) {
	server, client := startEmulator(t)
	mustPut(t, client, table.Row{Key: "k"})
	server.SetFaults(fault.Faults{StallConnections: true})
	if got := errorClass(client.Put(context.Background(), table.Row{Key: "k"}, table.Condition{})); got != "uncertain" {
		t.Fatalf("Put() over the stalled connection: %s, want uncertain", got)
	}
	mustPut(t, client, table.Row{Key: "k"})
}

// Guards against a new connection after each failed condition, which would make contended claims expensive.
func TestFailedConditionKeepsConnection(t *testing.T) {
	var opened atomic.Int64
	httpServer := httptest.NewUnstartedServer(emulator.New())
	httpServer.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	httpServer.Start()
	defer httpServer.Close()
	client := table.New(table.WithEndpoint(httpServer.URL))
	for range 5 {
		if got := errorClass(client.Put(context.Background(), table.Row{Key: "k"}, table.VersionIs(1))); got != "condition failed" {
			t.Fatalf("Put(): %s", got)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// Guards against a client that retries calls by itself, which could apply a write twice and would multiply the load
// during an outage.
func TestSendsOnce(t *testing.T) {
	for _, f := range []fault.Faults{{Outage: fault.Unavailable}, {DropReply: true}, {WritesPerSecond: 0.001}} {
		server, client := startEmulator(t)
		mustPut(t, client, table.Row{Key: "k"})
		server.SetFaults(f)
		if err := client.Put(context.Background(), table.Row{Key: "k"}, table.Condition{}); err == nil {
			t.Fatal("Put() succeeded during the fault")
		}
		if n := server.Record().Writes; n != 2 {
			t.Errorf("%+v: %d writes arrived, want 2", f, n)
		}
	}
}

// Guards against an emulator that does not return to its earlier state in a restore, so that tests of restores would
// pass without one.
func TestRestore(t *testing.T) {
	manual := clock.NewManual(1_000_000)
	server := emulator.New(emulator.WithClock(manual.Clock()))
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	client := table.New(table.WithEndpoint(httpServer.URL))
	mustPut(t, client, table.Row{Key: "k", Version: 1})
	manual.Advance(clock.Minute)
	mustPut(t, client, table.Row{Key: "k", Version: 2})
	server.SetFaults(fault.Faults{Restore: 30 * clock.Second})
	if row, _, err := client.Get(context.Background(), "k"); err != nil || row.Version != 1 {
		t.Fatalf("Get() = %+v, %v; want version 1", row, err)
	}
}

package objects_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	emulator "github.com/poplarwinch/poplarwinch/emulator/objects"
	"github.com/poplarwinch/poplarwinch/objects"
)

// timeout is far longer than a call over loopback takes, so that only calls without a response time out.
const timeout = time.Second

// startEmulator returns an emulator of the object store and a client of it.
func startEmulator(t *testing.T) (*emulator.Server, *objects.Objects) {
	t.Helper()
	server := emulator.New()
	httpServer := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		httpServer.Close()
	})
	return server, objects.New(objects.WithEndpoint(httpServer.URL), objects.WithTimeout(timeout), objects.WithMaxBytes(4<<20))
}

// errorClass names the class of an error, on which the further actions of a caller depend.
func errorClass(err error) string {
	var uncertain *objects.UncertainError
	var unavailable *objects.UnavailableError
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, objects.ErrExists):
		return "exists"
	case errors.Is(err, objects.ErrNotFound):
		return "not found"
	case errors.As(err, &uncertain):
		return "uncertain"
	case errors.As(err, &unavailable):
		return "unavailable"
	}
	return "other: " + err.Error()
}

// Guards against changed, truncated or overwritten objects, which would corrupt a manifest section or a recorded
// answer.
func TestObjects(t *testing.T) {
	_, client := startEmulator(t)
	ctx := context.Background()
	// From 2 MiB on, the SDK sends "Expect: 100-continue" before the body.
	for key, data := range map[string][]byte{
		"sections/empty": {}, "answers/ü /x": []byte("small"), "sections/large": bytes.Repeat([]byte("0123456789abcdef"), 3<<16),
	} {
		if _, err := client.Get(ctx, key); errorClass(err) != "not found" {
			t.Errorf("%s: Get() before = %s", key, errorClass(err))
		}
		if err := client.PutNew(ctx, key, data); err != nil {
			t.Errorf("%s: PutNew() = %v", key, err)
		}
		if err := client.PutNew(ctx, key, []byte("other")); errorClass(err) != "exists" {
			t.Errorf("%s: second PutNew() = %s", key, errorClass(err))
		}
		if got, err := client.Get(ctx, key); err != nil || !bytes.Equal(got, data) {
			t.Errorf("%s: Get() = %d bytes, %v; want %d bytes", key, len(got), err, len(data))
		}
		if err := client.Delete(ctx, key); err != nil {
			t.Errorf("%s: Delete() = %v", key, err)
		}
		if _, err := client.Get(ctx, key); errorClass(err) != "not found" {
			t.Errorf("%s: Get() after = %s", key, errorClass(err))
		}
	}
	if err := client.PutNew(ctx, "huge", make([]byte, 4<<20+1)); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Get(ctx, "huge"); errorClass(err) != "unavailable" {
		t.Errorf("Get() above the limit = %s, want unavailable", errorClass(err))
	}
}

// Guards against an error in the wrong class, which makes a caller report that a write had no effect although it had
// one.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		faults      fault.Faults
		write, read string
		repeat      string
	}{
		"lost reply": {fault.Faults{DropReply: true}, "uncertain", "unavailable", "exists"},
		"late reply": {fault.Faults{DelayAfter: 3 * clock.Second}, "uncertain", "unavailable", "exists"},
		"503":        {fault.Faults{Outage: fault.Unavailable}, "uncertain", "unavailable", "done"},
		"silent":     {fault.Faults{Outage: fault.Silent}, "uncertain", "unavailable", "done"},
		// The response to a rate limit has status 503, like other failures whose effect is unknown.
		"write rate": {fault.Faults{WritesPerSecond: 0.001}, "uncertain", "done", "done"},
		"stalled":    {fault.Faults{StallConnections: true}, "uncertain", "done", "done"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, client := startEmulator(t)
			ctx := context.Background()
			if err := client.PutNew(ctx, "old", []byte("old")); err != nil {
				t.Fatal(err)
			}
			server.SetFaults(test.faults)
			if got := errorClass(client.PutNew(ctx, "new", []byte("new"))); got != test.write {
				t.Errorf("PutNew(): %s, want %s", got, test.write)
			}
			if _, err := client.Get(ctx, "old"); errorClass(err) != test.read {
				t.Errorf("Get(): %s, want %s", errorClass(err), test.read)
			}
			server.SetFaults(fault.Faults{})
			if got := errorClass(client.PutNew(ctx, "new", []byte("new"))); got != test.repeat {
				t.Errorf("repeated PutNew(): %s, want %s", got, test.repeat)
			}
			if n := server.Record().Writes; n != 3 {
				t.Errorf("%d writes arrived, want 3", n)
			}
		})
	}
}

// Guards against a write that fails before it is sent and counts as uncertain.
func TestNotSent(t *testing.T) {
	httpServer := httptest.NewServer(nil)
	httpServer.Close()
	client := objects.New(objects.WithEndpoint(httpServer.URL))
	if got := errorClass(client.PutNew(context.Background(), "k", []byte("data"))); got != "unavailable" {
		t.Errorf("connection refused: %s, want unavailable", got)
	}
}

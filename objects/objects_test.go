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

// timeout is far above the time of a call on loopback, so that only calls without an answer reach it.
const timeout = time.Second

func start(t *testing.T) (*emulator.Server, *objects.Objects) {
	t.Helper()
	s := emulator.New()
	h := httptest.NewServer(s)
	t.Cleanup(func() {
		s.Close()
		h.Close()
	})
	return s, objects.New(objects.WithEndpoint(h.URL), objects.WithTimeout(timeout), objects.WithMaxBytes(4<<20))
}

func category(err error) string {
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

// A changed, truncated or overwritten object would corrupt a manifest section or a recorded answer.
func TestObjects(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	// From 2 MiB on, the SDK announces the body with "Expect: 100-continue".
	for key, data := range map[string][]byte{
		"sections/empty": {}, "answers/ü /x": []byte("small"), "sections/large": bytes.Repeat([]byte("0123456789abcdef"), 3<<16),
	} {
		if _, err := c.Get(ctx, key); category(err) != "not found" {
			t.Errorf("%s: Get() before = %s", key, category(err))
		}
		if err := c.PutNew(ctx, key, data); err != nil {
			t.Errorf("%s: PutNew() = %v", key, err)
		}
		if err := c.PutNew(ctx, key, []byte("other")); category(err) != "exists" {
			t.Errorf("%s: second PutNew() = %s", key, category(err))
		}
		if got, err := c.Get(ctx, key); err != nil || !bytes.Equal(got, data) {
			t.Errorf("%s: Get() = %d bytes, %v; want %d bytes", key, len(got), err, len(data))
		}
		if err := c.Delete(ctx, key); err != nil {
			t.Errorf("%s: Delete() = %v", key, err)
		}
		if _, err := c.Get(ctx, key); category(err) != "not found" {
			t.Errorf("%s: Get() after = %s", key, category(err))
		}
	}
	if err := c.PutNew(ctx, "huge", make([]byte, 4<<20+1)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Get(ctx, "huge"); category(err) != "unavailable" {
		t.Errorf("Get() above the limit = %s, want unavailable", category(err))
	}
}

// An error in the wrong class makes a caller report that a write had no effect although it had.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		faults      fault.Faults
		write, read string
		repeat      string
	}{
		"lost reply": {fault.Faults{LoseReply: true}, "uncertain", "unavailable", "exists"},
		"late reply": {fault.Faults{DelayAfter: 3 * clock.Second}, "uncertain", "unavailable", "exists"},
		"503":        {fault.Faults{Outage: fault.Unavailable}, "uncertain", "unavailable", "done"},
		"silent":     {fault.Faults{Outage: fault.Silent}, "uncertain", "unavailable", "done"},
		// The reply to a rate limit has status 503, like other failures with an unknown effect.
		"write rate": {fault.Faults{WritesPerSecond: 0.001}, "uncertain", "done", "done"},
		"stalled":    {fault.Faults{StallConnections: true}, "uncertain", "done", "done"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c := start(t)
			ctx := context.Background()
			if err := c.PutNew(ctx, "old", []byte("old")); err != nil {
				t.Fatal(err)
			}
			s.SetFaults(test.faults)
			if got := category(c.PutNew(ctx, "new", []byte("new"))); got != test.write {
				t.Errorf("PutNew(): %s, want %s", got, test.write)
			}
			if _, err := c.Get(ctx, "old"); category(err) != test.read {
				t.Errorf("Get(): %s, want %s", category(err), test.read)
			}
			s.SetFaults(fault.Faults{})
			if got := category(c.PutNew(ctx, "new", []byte("new"))); got != test.repeat {
				t.Errorf("repeated PutNew(): %s, want %s", got, test.repeat)
			}
			if n := s.Record().Writes; n != 3 {
				t.Errorf("%d writes arrived, want 3", n)
			}
		})
	}
}

// A write that fails before it is sent must count as certain.
func TestNotSent(t *testing.T) {
	h := httptest.NewServer(nil)
	h.Close()
	c := objects.New(objects.WithEndpoint(h.URL))
	if got := category(c.PutNew(context.Background(), "k", []byte("data"))); got != "unavailable" {
		t.Errorf("connection refused: %s, want unavailable", got)
	}
}

package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

// world is a dispatcher in front of scripted servers, in virtual time.
type world struct {
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	fleet      *fleet.Fleet
	suspects   *quarantine.Register
	log        *memory.Handler
	builder    *reservation.Builder

	mutex sync.Mutex
	// calls are the calls that servers got; answer decides on each.
	calls  []dispatch.Call
	answer func(ctx context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error)
	// dead are servers that accept no connections.
	dead     map[poplarwinch.UpstreamID]bool
	reserved map[engine.ReservationID]poplarwinch.Tokens
	refuse   bool
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, log: memory.New(), dead: map[poplarwinch.UpstreamID]bool{}, reserved: map[engine.ReservationID]poplarwinch.Tokens{},
	}
	c := clock.System()
	l := &log.Logger{Handler: w.log, Level: log.DebugLevel}
	w.fleet = fleet.New(fleet.WithClock(c), fleet.WithDomain("north"))
	var list []fleet.Server
	for _, id := range []poplarwinch.UpstreamID{"e1", "e2", "e3", "e4"} {
		list = append(list, fleet.Server{ID: id, Address: string(id) + ":80", Domain: "north", Service: "pool", Slots: 16})
	}
	for _, id := range []poplarwinch.UpstreamID{"s1", "s2", "s3"} {
		list = append(list, fleet.Server{ID: id, Address: string(id) + ":80", Domain: "north", Service: "bookings", Slots: 6})
	}
	w.fleet.Apply(list)
	w.suspects = quarantine.New(quarantine.WithClock(c))
	w.builder = reservation.NewBuilder("me", c, l)
	w.builder.Limit = func() int { return 4 }
	w.builder.Reserve, w.builder.Release = w.reserve, w.release
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = w.builder.Run(ctx) }()
	table := (&route.Table{Pools: map[poplarwinch.ServiceName]route.Pool{"pool": {
		Slots: 16, MemoryTokens: 405_000, StepMillis: 1.31, ReadRate: 154, PairMillis: 0.162, ChunkTokens: 2048, Stride: 34,
	}}}).Compile()
	w.dispatcher = dispatch.New(
		dispatch.WithClock(c), dispatch.WithLog(l), dispatch.WithFleet(w.fleet), dispatch.WithDomain("north"),
		dispatch.WithActive(func() *route.Table { return table }), dispatch.WithSend(w.send), dispatch.WithReachable(w.reachable),
		dispatch.WithSuspects(w.suspects), dispatch.WithMemory(w.builder, 3000),
		dispatch.WithBudget(func() *admission.SharedBudget {
			return admission.NewSharedBudget(c, 0.2, 100, 10*clock.Second, func() int { return 9 })
		}),
	)
	return w
}

func (w *world) reserve(_ context.Context, address string, r engine.Reservation) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.refuse {
		return &engine.RefusedError{Address: address, Status: http.StatusConflict}
	}
	w.reserved[r.ID] = r.Tokens
	return nil
}

func (w *world) release(_ context.Context, _ string, id engine.ReservationID) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.reserved, id)
	return nil
}

func (w *world) reservations() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.reserved)
}

func (w *world) reachable(_ context.Context, s fleet.Server) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.dead[s.ID]
}

func (w *world) send(ctx context.Context, c *dispatch.Call) (*dispatch.Answer, error) {
	w.mutex.Lock()
	w.calls = append(w.calls, *c)
	n := len(w.calls)
	w.mutex.Unlock()
	return w.answer(ctx, n, c)
}

// request is a fresh request of a kind.
func (w *world) request(kind route.Kind) *dispatch.Request {
	now := w.dispatcher.Now()
	r := &dispatch.Request{
		ID: "r1", Customer: "c", Service: "bookings", Method: http.MethodPost, URL: &url.URL{Path: "/x/"}, Host: "a.example",
		Started: now, Deadline: now + 4000, Fingerprint: quarantine.Of("c", "/x/", nil),
		Route: &route.Route{Name: "x", Kind: kind, Target: 300, MaxAttempts: 2},
	}
	if kind == route.KindStreaming {
		r.Service, r.Prompt, r.Answer, r.Deadline = "pool", 5000, 1300, now+10_000
		r.Route.Resumable, r.Route.MaxPause = true, 250
	}
	return r
}

// outcome is what a caller got.
type outcome struct {
	begun  int
	status int
	header http.Header
	body   string
	err    *poplarwinch.Error
}

func (w *world) run(ctx context.Context, r *dispatch.Request) outcome {
	var o outcome
	err := w.dispatcher.Run(ctx, r, dispatch.Reply{
		Begin: func(a *dispatch.Answer) { o.begun, o.status, o.header = o.begun+1, a.Status, a.Header },
		Write: func(data []byte) error { o.body += string(data); return nil },
	})
	if err != nil && !errors.As(err, &o.err) {
		w.t.Errorf("got the error %v, want a *poplarwinch.Error", err)
	}
	return o
}

// whole is a complete answer; broken is one that breaks off after data.
func whole(status int, body string) (*dispatch.Answer, error) {
	return &dispatch.Answer{Status: status, Header: http.Header{"Server": {body}}, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
}

func broken(data string) (*dispatch.Answer, error) {
	return &dispatch.Answer{Status: http.StatusOK, Header: http.Header{"Server": {"first"}}, Length: -1, Body: io.NopCloser(io.MultiReader(
		strings.NewReader(data), failing{io.ErrUnexpectedEOF},
	))}, nil
}

type failing struct{ err error }

// Read fails.
func (f failing) Read([]byte) (int, error) { return 0, f.err }

func failure(f dispatch.Failure) (*dispatch.Answer, error) {
	return nil, &dispatch.CallError{Failure: f, Cause: errors.New("scripted")}
}

// silence answers nothing until the call is given up.
func silence(ctx context.Context) (*dispatch.Answer, error) {
	<-ctx.Done()
	return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: context.Cause(ctx)}
}

// virtual runs a test in virtual time and waits for background work at its end.
func virtual(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		test(t, w)
		time.Sleep(3 * time.Second)
		w.dispatcher.Wait()
		if n := w.reservations(); n != 0 {
			t.Errorf("%d reservations are left", n)
		}
		for _, c := range append(w.fleet.Candidates("pool"), w.fleet.Candidates("bookings")...) {
			if c.Load != (fleet.Load{}) {
				t.Errorf("server %s still has %+v", c.ID, c.Load)
			}
		}
	})
}

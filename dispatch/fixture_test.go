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

// fixture is a dispatcher with scripted servers, in virtual time.
type fixture struct {
	t          testing.TB
	dispatcher *dispatch.Dispatcher
	fleet      *fleet.Fleet
	suspects   *quarantine.Register
	log        *memory.Handler
	builder    *reservation.Builder

	mutex sync.Mutex
	// calls are the calls sent so far.
	calls []dispatch.Call
	// answer returns the result of call n, counted from 1.
	answer func(ctx context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error)
	// unreachable are the servers that accept no connections.
	unreachable map[poplarwinch.UpstreamID]bool
	// accepts, if set, reports whether a process accepts a connection at the address of a server, in place of unreachable.
	accepts func(ctx context.Context, s fleet.Server) bool
	// probed are the servers that were probed so far.
	probed   []fleet.Server
	reserved map[engine.ReservationID]poplarwinch.Tokens
	// refuseReservations makes all engines refuse reservations.
	refuseReservations bool
	// onReserve is called once, at the next reservation.
	onReserve func()
	// reservationsUsed makes all engines report that their reservations are in use.
	reservationsUsed bool
	// mute makes all engines answer no question about reservations.
	mute bool
	// retriesPerRequest and sharedRetries are the limits of the retry budgets.
	retriesPerRequest, sharedRetries float64
	// table is the active configuration.
	table *route.Table
	// heldUntil is the time until which nothing is to be sent.
	heldUntil clock.Millis
	// listMissing says that the server list was not loaded yet.
	listMissing bool
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{
		t: t, log: memory.New(), unreachable: map[poplarwinch.UpstreamID]bool{}, reserved: map[engine.ReservationID]poplarwinch.Tokens{},
		retriesPerRequest: 0.2, sharedRetries: 100,
	}
	c := clock.System()
	l := &log.Logger{Handler: f.log, Level: log.DebugLevel}
	f.fleet = fleet.New(fleet.WithClock(c), fleet.WithDomain("north"))
	var list []fleet.Server
	for _, id := range []poplarwinch.UpstreamID{"e1", "e2", "e3", "e4"} {
		list = append(list, fleet.Server{ID: id, Address: string(id) + ":80", Domain: "north", Service: "pool", Slots: 16})
	}
	for _, id := range []poplarwinch.UpstreamID{"s1", "s2", "s3"} {
		list = append(list, fleet.Server{ID: id, Address: string(id) + ":80", Domain: "north", Service: "bookings", Slots: 6})
	}
	f.fleet.Apply(list)
	f.suspects = quarantine.New(quarantine.WithClock(c))
	f.builder = reservation.NewBuilder("me", c, l)
	f.builder.MaxGroups = func() int { return 4 }
	f.builder.Reserve, f.builder.Release = f.reserve, f.release
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.builder.Run(ctx) }()
	f.table = (&route.Table{Pools: map[poplarwinch.ServiceName]route.Pool{"pool": {
		Slots: 16, MemoryTokens: 405_000, StepMillis: 1.31, PrefillRate: 154, PairMillis: 0.162, ChunkTokens: 2048, Stride: 34,
	}}}).Compile()
	f.dispatcher = dispatch.New(
		dispatch.WithClock(c), dispatch.WithLog(l), dispatch.WithFleet(f.fleet), dispatch.WithDomain("north"), dispatch.WithRegion(regionOf), dispatch.WithHold(f.hold),
		dispatch.WithActive(f.active), dispatch.WithSend(f.send), dispatch.WithReachable(f.reachable),
		dispatch.WithSuspects(f.suspects), dispatch.WithReservations(f.builder, 3000),
		dispatch.WithUnusedLimit(9000, f.reservationInUse), dispatch.WithListLoaded(f.listLoaded),
		dispatch.WithBudget(func() *admission.SharedRetryBudget {
			return admission.NewSharedRetryBudget(c, f.retriesPerRequest, f.sharedRetries, 10*clock.Second, func() int { return 9 })
		}),
	)
	return f
}

func (f *fixture) reserve(_ context.Context, address string, r engine.Reservation) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.refuseReservations {
		return &engine.RefusedError{Address: address, Status: http.StatusConflict}
	}
	if onReserve := f.onReserve; onReserve != nil {
		f.onReserve = nil
		onReserve()
	}
	f.reserved[r.ID] = r.Tokens
	return nil
}

func (f *fixture) release(_ context.Context, _ string, id engine.ReservationID) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.reserved, id)
	return nil
}

func (f *fixture) reservationInUse(_ context.Context, _ string, id engine.ReservationID) (bool, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.mute {
		return false, errors.New("no answer")
	}
	return f.reservationsUsed && f.reserved[id] != 0, nil
}

func (f *fixture) active() *route.Table {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table
}

// activate makes another configuration the active one.
func (f *fixture) activate(t *route.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.table = t.Compile()
}

func (f *fixture) hold() clock.Millis {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return max(f.heldUntil-f.dispatcher.Now(), 0)
}

func (f *fixture) listLoaded() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.listMissing
}

func (f *fixture) reservations() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.reserved)
}

func (f *fixture) reachable(ctx context.Context, s fleet.Server) bool {
	f.mutex.Lock()
	accepts := f.accepts
	f.mutex.Unlock()
	if accepts != nil {
		return accepts(ctx, s)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.probed = append(f.probed, s)
	return !f.unreachable[s.ID]
}

func (f *fixture) send(ctx context.Context, c *dispatch.Call) (*dispatch.Answer, error) {
	f.mutex.Lock()
	f.calls = append(f.calls, *c)
	n := len(f.calls)
	f.mutex.Unlock()
	return f.answer(ctx, n, c)
}

// crashServers makes each call crash its server.
func (f *fixture) crashServers() {
	f.answer = func(_ context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
		f.mutex.Lock()
		f.unreachable[c.Server.ID] = true
		f.mutex.Unlock()
		return failure(dispatch.FailureBroken)
	}
}

// request returns a new request for a route of the kind.
func (f *fixture) request(kind route.Kind) *dispatch.Request {
	now := f.dispatcher.Now()
	r := &dispatch.Request{
		ID: "r1", Customer: "c", Service: "bookings", Method: http.MethodPost, URL: &url.URL{Path: "/x/"}, Host: "a.example",
		Started: now, Deadline: now + 4000, Fingerprint: quarantine.FingerprintOf("c", "/x/", nil),
		Route: &route.Route{Name: "x", Kind: kind, Target: 300, MaxAttempts: 2},
	}
	if kind == route.KindStreaming {
		r.Service, r.PromptTokens, r.MaxAnswerTokens, r.Deadline = "pool", 5000, 1300, now+10_000
		r.Route.Resumable, r.Route.MaxPause = true, 250
	}
	return r
}

// longPrompt returns a prompt that needs memory on several engines.
func (f *fixture) longPrompt() *dispatch.Request {
	r := f.request(route.KindStreaming)
	r.PromptTokens, r.Route.Target, r.Route.MaxPause, r.Deadline = 500_000, 10_000, 1000, r.Started+15_000
	return r
}

// outcome is what the caller received.
type outcome struct {
	begun  int
	status int
	header http.Header
	body   string
	err    *poplarwinch.Error
}

func (f *fixture) run(ctx context.Context, r *dispatch.Request) outcome {
	var o outcome
	err := f.dispatcher.Run(ctx, r, dispatch.Reply{
		Begin: func(a *dispatch.Answer) { o.begun, o.status, o.header = o.begun+1, a.Status, a.Header },
		Write: func(data []byte) error { o.body += string(data); return nil },
	})
	if err != nil && !errors.As(err, &o.err) {
		f.t.Errorf("got the error %v, want a *poplarwinch.Error", err)
	}
	return o
}

// complete returns a complete response.
func complete(status int, body string) (*dispatch.Answer, error) {
	return &dispatch.Answer{Status: status, Header: http.Header{"Server": {body}}, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
}

// broken returns a response that breaks off after data.
func broken(data string) (*dispatch.Answer, error) {
	return &dispatch.Answer{Status: http.StatusOK, Header: http.Header{"Server": {"first"}}, Length: -1, Body: io.NopCloser(io.MultiReader(
		strings.NewReader(data), failing{io.ErrUnexpectedEOF},
	))}, nil
}

type failing struct{ err error }

// Read returns the reader's error.
func (f failing) Read([]byte) (int, error) { return 0, f.err }

func failure(f dispatch.Failure) (*dispatch.Answer, error) {
	return nil, &dispatch.CallError{Failure: f, Cause: errors.New("scripted")}
}

// sleep waits for a time or until ctx ends.
func (f *fixture) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// silence returns an error once ctx ends.
func silence(ctx context.Context) (*dispatch.Answer, error) {
	<-ctx.Done()
	return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: context.Cause(ctx)}
}

// runInVirtualTime runs a test in virtual time, waits for background work and checks that no reservation and no load is
// left.
func runInVirtualTime(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		test(t, f)
		time.Sleep(3 * time.Second)
		f.dispatcher.Wait()
		if n := f.reservations(); n != 0 {
			t.Errorf("%d reservations are left", n)
		}
		for _, c := range append(f.fleet.Candidates("pool"), f.fleet.Candidates("bookings")...) {
			if c.Load != (fleet.Load{}) {
				t.Errorf("server %s still has %+v", c.ID, c.Load)
			}
		}
	})
}

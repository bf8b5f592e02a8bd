package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
	"github.com/poplarwinch/poplarwinch/emulator/memory"
	"github.com/poplarwinch/poplarwinch/emulator/property"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/lease"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/table"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// scenarioEnd is the time at which a scenario ends.
	scenarioEnd = 200 * clock.Second
	// faultsEnd is the time in a scenario by which all injected faults have ended.
	faultsEnd = 90 * clock.Second
	// loadTime is the time that engines take to load a model.
	loadTime = 2 * clock.Second
	// maxLoads is the manifest's limit of concurrent loads.
	maxLoads = 1
)

var errFault = errors.New("injected fault")

// machine is the machine of one instance. It is paused between from and to, and its wall clock is off by skew. If
// suspend is set, its monotonic clock stops during the pause.
type machine struct {
	from, to, skew clock.Millis
	suspend        bool
}

// scenario is a set of machines and the faults injected into a simulation.
type scenario struct {
	machines []machine
	// effects are the results of the table operations, in order: success or a fault.
	effects []memory.Effect
	// calls are the results of the orders, in the order of sending: success, a lost request, a lost reply or a
	// delayed request.
	calls []memory.Effect
	// The table is out of service between from and to. The manifest names another version of model a from updatedAt on,
	// and engine 0 restarts at restarted unless that is 0. Planners get observations that are at least observationLag old.
	// checksFencing makes the engines check fencing tokens.
	from, to, updatedAt, restarted, observationLag clock.Millis
	checksFencing                                  bool
}

// effects draws the results of calls, with delays of up to maxDelay.
func effects(maxDelay clock.Millis) *rapid.Generator[[]memory.Effect] {
	kinds := []memory.Kind{memory.OK, memory.OK, memory.Rejected, memory.LostReply, memory.Late, memory.Dropped}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) memory.Effect {
		return memory.Effect{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Late: property.MillisBetween(0, maxDelay).Draw(t, "late")}
	}), 0, 20)
}

func scenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{
			machines: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) machine {
				from := property.MillisBetween(0, 60_000).Draw(t, "from")
				return machine{
					from: from, to: from + property.MillisBetween(0, 30_000).Draw(t, "length"), skew: property.MillisBetween(-240, 240).Draw(t, "skew"),
					suspend: rapid.Bool().Draw(t, "suspend"),
				}
			}), 1, 3).Draw(t, "machines"),
			effects: effects(15_000).Draw(t, "effects"), calls: effects(4_000).Draw(t, "calls"),
			from: property.MillisBetween(0, 60_000).Draw(t, "outage"), updatedAt: property.MillisBetween(10_000, 80_000).Draw(t, "updated"),
			restarted:      rapid.OneOf(rapid.Just(clock.Millis(0)), property.MillisBetween(10_000, 80_000)).Draw(t, "restarted"),
			observationLag: property.MillisBetween(0, 1_000).Draw(t, "lag"), checksFencing: rapid.Bool().Draw(t, "checks"),
		}
		s.to = s.from + property.MillisBetween(0, 20_000).Draw(t, "length")
		return s
	})
}

// simulation is the system under test with an emulated table and emulated engines that are called without a network. It
// runs inside a synctest bubble, so its time is virtual.
type simulation struct {
	scenario   scenario
	platform   *memory.Platform
	clock      *clock.Clock
	engines    []*emulatedengine.Engine
	lateOrders sync.WaitGroup
	// delivery serializes deliveries, so that checks see the effect of one order at a time.
	delivery sync.Mutex

	mutex sync.Mutex
	// calls is the number of orders sent.
	calls int
	// observed holds the periodic observations of all engines.
	observed [][]Engine
	// tokenExpiry is the latest possible expiry of the lease by fencing token.
	tokenExpiry map[uint64]clock.Millis
	// tokenFirstValid is the time at which a fencing token was first valid.
	tokenFirstValid map[uint64]clock.Millis
	violations      []string
}

func newSimulation(s scenario) *simulation {
	sim := &simulation{
		scenario: s, clock: clock.System(), tokenExpiry: map[uint64]clock.Millis{}, tokenFirstValid: map[uint64]clock.Millis{},
		platform: memory.New(memory.WithEffects(s.effects, faultsEnd), memory.WithOutages(memory.Outage{From: s.from, To: s.to})),
	}
	for i, models := range [][]emulatedengine.Model{{{Name: "a", Version: "1"}}, {{Name: "a", Version: "1"}}, {{Name: "b", Version: "1"}}, nil} {
		opts := []emulatedengine.Option{
			emulatedengine.WithLoadTime(loadTime), emulatedengine.WithModels(models...), emulatedengine.WithSeed(uint64(i)),
		}
		if s.checksFencing {
			opts = append(opts, emulatedengine.WithFencingChecks())
		}
		sim.engines = append(sim.engines, emulatedengine.New(opts...))
	}
	return sim
}

// call sends a request of the engine protocol to engine i and returns the status code. A call that the engine aborts because it restarts
// at that moment has not reached it: reads are repeated, and of other calls the code is zero.
func (s *simulation) call(i int, method, path string, body, reply any) int {
	data, _ := json.Marshal(body)
	for {
		r := httptest.NewRecorder()
		served := serve(s.engines[i], r, httptest.NewRequest(method, path, bytes.NewReader(data)))
		switch {
		case served && reply != nil:
			_ = json.Unmarshal(r.Body.Bytes(), reply)
			return r.Code
		case served:
			return r.Code
		case method != http.MethodGet:
			return 0
		}
	}
}

// serve calls the handler as a server does. It reports false if the handler aborted the connection.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) (served bool) {
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	h.ServeHTTP(w, r)
	return true
}

// engineState returns the current state of engine i.
func (s *simulation) engineState(i int) Engine {
	var h engine.Health
	s.call(i, http.MethodGet, "/health", nil, &h)
	e := Engine{ID: poplarwinch.UpstreamID(fmt.Sprint(i)), Up: h.Ready, BootID: h.BootID, At: s.clock.Now()}
	for _, m := range h.Models {
		e.Models = append(e.Models, upstream.LoadedModel{Name: m.Name, Version: m.Version})
	}
	return e
}

func (s *simulation) engineStates() []Engine {
	var list []Engine
	for i := range s.engines {
		list = append(list, s.engineState(i))
	}
	return list
}

// manifest returns the current manifest.
func (s *simulation) manifest() *manifest.Manifest {
	minimums := map[string]int{"a": 3, "b": 1}
	if s.platform.Now() < s.scenario.updatedAt {
		return newManifest("a@1 b@1", minimums, maxLoads)
	}
	return newManifest("a@2 b@1", minimums, maxLoads)
}

// applyPause blocks until the machine's pause has ended, if it is paused.
func (s *simulation) applyPause(m machine) {
	if now := s.platform.Now(); now >= m.from && now < m.to {
		time.Sleep((m.to - now).Duration())
	}
}

// recordViolation records a violation with its time.
func (s *simulation) recordViolation(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...)+fmt.Sprint(" at ", s.platform.Now()))
}

// lease returns the lease of an instance; it records the latest possible expiry of each token.
func (s *simulation) lease(i int) *lease.Lease {
	m := s.scenario.machines[i]
	c := s.platform.Client(func() { s.applyPause(m) })
	put := func(ctx context.Context, row table.Row, condition table.Condition) error {
		err := c.Put(ctx, row, condition)
		var uncertain *table.UncertainError
		if err == nil || errors.As(err, &uncertain) {
			var body struct {
				Expires clock.Millis `json:"expires-ms"`
			}
			_ = json.Unmarshal(row.Body, &body)
			s.mutex.Lock()
			s.tokenExpiry[row.Version] = max(s.tokenExpiry[row.Version], body.Expires-m.skew)
			s.mutex.Unlock()
		}
		return err
	}
	return lease.New(
		lease.WithKey("lease/arima"), lease.WithHolder(poplarwinch.InstanceID(fmt.Sprint("instance-", i))),
		lease.WithTable(c.Get, put), lease.WithLog(&log.Logger{Handler: discard.Default}),
		lease.WithWallClock(func() clock.Millis { return s.clock.Now() + m.skew }),
		lease.WithMonotonicClock(func() clock.Millis {
			now := s.platform.Now()
			if m.suspend && now > m.from {
				now -= min(now, m.to) - m.from
			}
			return now
		}),
	)
}

func (s *simulation) planner(i int, l *lease.Lease) *Planner {
	m := s.scenario.machines[i]
	p := New(s.clock, &log.Logger{Handler: discard.Default})
	p.Valid = func(margin clock.Millis) (uint64, bool) {
		token, ok := l.Valid(margin)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if _, known := s.tokenFirstValid[token]; ok && !known {
			s.tokenFirstValid[token] = s.clock.Now()
		}
		return token, ok
	}
	p.Active = s.manifest
	p.Demand = func() map[poplarwinch.ModelName]int64 {
		s.applyPause(m)
		return map[poplarwinch.ModelName]int64{"a": 20, "b": 10}
	}
	p.Engines = func() []Engine {
		s.applyPause(m)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for _, observed := range slices.Backward(s.observed) {
			if observed[0].At <= s.clock.Now()-s.scenario.observationLag {
				return slices.Clone(observed)
			}
		}
		return nil
	}
	p.ReadModels = func(_ context.Context, e Engine) ([]upstream.LoadedModel, error) {
		s.applyPause(m)
		return s.engineState(int(e.ID[0] - '0')).Models, nil
	}
	p.Order = func(ctx context.Context, e Engine, o Order) error { return s.order(ctx, m, e, o) }
	return p
}

// order checks the times of an order and delivers it with the fault that the scenario specifies.
func (s *simulation) order(ctx context.Context, m machine, e Engine, o Order) error {
	s.mutex.Lock()
	if sent, latest := s.clock.Now(), s.tokenExpiry[o.FencingToken]+orderValidity; sent > latest {
		s.violations = append(s.violations, fmt.Sprint("sent after the lease: ", sent-latest, " ms"))
	}
	if excess := o.ValidUntil - s.tokenExpiry[o.FencingToken]; excess > 0 {
		s.violations = append(s.violations, fmt.Sprint("valid after the lease: ", excess, " ms"))
	}
	effect := memory.Effect{Kind: memory.OK}
	if s.calls < len(s.scenario.calls) && s.platform.Now() < faultsEnd {
		effect = s.scenario.calls[s.calls]
	}
	s.calls++
	s.mutex.Unlock()
	s.applyPause(m)
	if s.clock.Sleep(ctx, 5) != nil {
		return ctx.Err()
	}
	var err error
	switch effect.Kind {
	case memory.OK:
		return s.deliver(m, e, o)
	case memory.LostReply:
		err = s.deliver(m, e, o)
	case memory.Late:
		s.lateOrders.Go(func() {
			time.Sleep(effect.Late.Duration())
			_ = s.deliver(m, e, o)
		})
	}
	_ = s.clock.Sleep(ctx, clock.Second)
	return errors.Join(errFault, err)
}

// deliver sends an order to its engine and checks its effect on the loaded models.
func (s *simulation) deliver(m machine, e Engine, o Order) error {
	body := engine.Order{FencingToken: o.FencingToken, ValidUntil: o.ValidUntil + m.skew}
	for _, l := range o.Models {
		body.Models = append(body.Models, engine.Model{Name: l.Name, Version: l.Version, Adapters: []engine.Adapter{}})
	}
	s.delivery.Lock()
	defer s.delivery.Unlock()
	before, boot := s.serving(), s.engineState(int(e.ID[0]-'0')).BootID
	if s.call(int(e.ID[0]-'0'), http.MethodPut, "/orders", body, nil) != http.StatusOK {
		return errFault
	}
	after := s.serving()
	for name, minimum := range map[poplarwinch.ModelName]int{"a": 3, "b": 1} {
		// A late order may reach a restarted engine, or an engine with a model that was still loading when the order was
		// decided.
		if e.BootID == boot && e.hasModel(name) && after[name] < min(before[name], minimum) {
			s.recordViolation("below the minimum: %s has %d of %d engines", name, after[name], minimum)
		}
	}
	if n := s.loading(); n > maxLoads {
		s.recordViolation("%d concurrent loads", n)
	}
	s.mutex.Lock()
	latest, now := s.tokenExpiry[o.FencingToken]+orderValidity, s.clock.Now()
	stale := now > latest
	for token, since := range s.tokenFirstValid {
		stale = stale || token > o.FencingToken && now >= since
	}
	s.mutex.Unlock()
	if stale {
		s.recordViolation("stale order accepted: token %d", o.FencingToken)
	}
	return nil
}

// loading returns the number of engines that are loading a model.
func (s *simulation) loading() (n int) {
	for i, e := range s.engines {
		orders := slices.DeleteFunc(e.Record().Orders, func(o emulatedengine.RecordedOrder) bool { return !o.Accepted })
		restarted := i == 0 && s.platform.Now()-s.scenario.restarted < loadTime
		if len(orders) == 0 || s.clock.Now()-orders[len(orders)-1].At >= loadTime || restarted {
			continue
		}
		for _, m := range orders[len(orders)-1].Models {
			if !containsModel(s.engineState(i).Models, upstream.LoadedModel{Name: poplarwinch.ModelName(m.Name), Version: m.Version}) {
				n++
				break
			}
		}
	}
	return n
}

// serving returns the number of engines that have each model.
func (s *simulation) serving() map[poplarwinch.ModelName]int {
	counts := map[poplarwinch.ModelName]int{}
	for _, e := range s.engineStates() {
		for _, name := range modelNames(e.Models) {
			counts[name]++
		}
	}
	return counts
}

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
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/lease"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/table"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// end is when a scenario ends; quiet is when its last fault has ended.
	end   = 200 * clock.Second
	quiet = 90 * clock.Second
	// loadTime is how long engines load a model; maxLoads is the manifest's limit.
	loadTime = 2 * clock.Second
	maxLoads = 1
)

var errLost = errors.New("injected fault")

// machine is one instance's pause; suspended machines have a monotonic clock that stands still in it.
type machine struct {
	from, to, skew clock.Millis
	suspend        bool
}

type scenario struct {
	machines []machine
	effects  []memory.Effect
	// calls are what happens to the orders, in their order: lost requests, lost replies and late ones.
	calls []memory.Effect
	// The table is out of service between from and to. The manifest's version changes at updated, and engine 0 restarts at
	// restarted unless it is 0.
	from, to, updated, restarted, lag clock.Millis
	checks                            bool
}

// millis draws one of 64 evenly spread values. Each bit is drawn on its own, as rapid prefers small integers.
func millis(from, to clock.Millis) *rapid.Generator[clock.Millis] {
	return rapid.Map(rapid.SliceOfN(rapid.Bool(), 6, 6), func(bits []bool) clock.Millis {
		n := clock.Millis(0)
		for _, set := range bits {
			n *= 2
			if set {
				n++
			}
		}
		return from + (to-from)*n/63
	})
}

func effects(late clock.Millis) *rapid.Generator[[]memory.Effect] {
	kinds := []memory.Kind{memory.OK, memory.OK, memory.Rejected, memory.LostReply, memory.Late, memory.Dropped}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) memory.Effect {
		return memory.Effect{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Late: millis(0, late).Draw(t, "late")}
	}), 0, 20)
}

func scenarios() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		s := scenario{
			machines: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) machine {
				from := millis(0, 60_000).Draw(t, "from")
				return machine{
					from: from, to: from + millis(0, 30_000).Draw(t, "length"), skew: millis(-240, 240).Draw(t, "skew"),
					suspend: rapid.Bool().Draw(t, "suspend"),
				}
			}), 1, 3).Draw(t, "machines"),
			effects: effects(15_000).Draw(t, "effects"), calls: effects(4_000).Draw(t, "calls"),
			from: millis(0, 60_000).Draw(t, "outage"), updated: millis(10_000, 80_000).Draw(t, "updated"),
			restarted: rapid.OneOf(rapid.Just(clock.Millis(0)), millis(10_000, 80_000)).Draw(t, "restarted"),
			lag:       millis(0, 1_000).Draw(t, "lag"), checks: rapid.Bool().Draw(t, "checks"),
		}
		s.to = s.from + millis(0, 20_000).Draw(t, "length")
		return s
	})
}

// world runs inside a synctest bubble, so its time is virtual. Its engines are emulated ones without a network.
type world struct {
	scenario scenario
	platform *memory.Platform
	clock    *clock.Clock
	engines  []*emulatedengine.Engine
	late     sync.WaitGroup
	delivery sync.Mutex

	mutex      sync.Mutex
	calls      int
	seen       [][]Engine
	ends       map[uint64]clock.Millis
	active     map[uint64]clock.Millis
	violations []string
}

func newWorld(s scenario) *world {
	w := &world{
		scenario: s, clock: clock.System(), ends: map[uint64]clock.Millis{}, active: map[uint64]clock.Millis{},
		platform: memory.New(memory.WithEffects(s.effects, quiet), memory.WithOutages(memory.Outage{From: s.from, To: s.to})),
	}
	for i, models := range [][]emulatedengine.Model{{{Name: "a", Version: "1"}}, {{Name: "a", Version: "1"}}, {{Name: "b", Version: "1"}}, nil} {
		opts := []emulatedengine.Option{
			emulatedengine.WithLoadTime(loadTime), emulatedengine.WithModels(models...), emulatedengine.WithSeed(uint64(i)),
		}
		if s.checks {
			opts = append(opts, emulatedengine.WithFencingChecks())
		}
		w.engines = append(w.engines, emulatedengine.New(opts...))
	}
	return w
}

// call makes a request of the engine protocol.
func (w *world) call(i int, method, path string, body, reply any) int {
	data, _ := json.Marshal(body)
	r := httptest.NewRecorder()
	w.engines[i].ServeHTTP(r, httptest.NewRequest(method, path, bytes.NewReader(data)))
	if reply != nil {
		_ = json.Unmarshal(r.Body.Bytes(), reply)
	}
	return r.Code
}

// look returns the present state of an engine.
func (w *world) look(i int) Engine {
	var h engine.Health
	w.call(i, http.MethodGet, "/health", nil, &h)
	e := Engine{ID: poplarwinch.UpstreamID(fmt.Sprint(i)), Up: h.Ready, BootID: h.BootID, At: w.clock.Now()}
	for _, m := range h.Models {
		e.Models = append(e.Models, upstream.Loaded{Name: m.Name, Version: m.Version})
	}
	return e
}

func (w *world) state() []Engine {
	var list []Engine
	for i := range w.engines {
		list = append(list, w.look(i))
	}
	return list
}

// manifest returns the manifest in effect.
func (w *world) manifest() *manifest.Manifest {
	minimums := map[string]int{"a": 3, "b": 1}
	if w.platform.Now() < w.scenario.updated {
		return manifestOf("a@1 b@1", minimums, maxLoads)
	}
	return manifestOf("a@2 b@1", minimums, maxLoads)
}

// pass holds up a machine during its pause.
func (w *world) pass(m machine) {
	if now := w.platform.Now(); now >= m.from && now < m.to {
		time.Sleep((m.to - now).Duration())
	}
}

func (w *world) violate(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...)+fmt.Sprint(" at ", w.platform.Now()))
}

// lease returns the lease of an instance; the world notes when its tokens end at the latest.
func (w *world) lease(i int) *lease.Lease {
	m := w.scenario.machines[i]
	c := w.platform.Client(func() { w.pass(m) })
	put := func(ctx context.Context, row table.Row, condition table.Condition) error {
		err := c.Put(ctx, row, condition)
		var uncertain *table.UncertainError
		if err == nil || errors.As(err, &uncertain) {
			var body struct {
				Expires clock.Millis `json:"expires-ms"`
			}
			_ = json.Unmarshal(row.Body, &body)
			w.mutex.Lock()
			w.ends[row.Version] = max(w.ends[row.Version], body.Expires-m.skew)
			w.mutex.Unlock()
		}
		return err
	}
	return lease.New(
		lease.WithKey("lease/arima"), lease.WithHolder(poplarwinch.InstanceID(fmt.Sprint("instance-", i))),
		lease.WithTable(c.Get, put), lease.WithLog(&log.Logger{Handler: discard.Default}),
		lease.WithWall(func() clock.Millis { return w.clock.Now() + m.skew }),
		lease.WithMonotonic(func() clock.Millis {
			now := w.platform.Now()
			if m.suspend && now > m.from {
				now -= min(now, m.to) - m.from
			}
			return now
		}),
	)
}

func (w *world) planner(i int, l *lease.Lease) *Planner {
	m := w.scenario.machines[i]
	p := New(w.clock, &log.Logger{Handler: discard.Default})
	p.Valid = func(margin clock.Millis) (uint64, bool) {
		token, ok := l.Valid(margin)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if _, known := w.active[token]; ok && !known {
			w.active[token] = w.clock.Now()
		}
		return token, ok
	}
	p.Active = w.manifest
	p.Demand = func() map[poplarwinch.ModelName]int64 {
		w.pass(m)
		return map[poplarwinch.ModelName]int64{"a": 20, "b": 10}
	}
	p.Engines = func() []Engine {
		w.pass(m)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for _, seen := range slices.Backward(w.seen) {
			if seen[0].At <= w.clock.Now()-w.scenario.lag {
				return slices.Clone(seen)
			}
		}
		return nil
	}
	p.Read = func(_ context.Context, e Engine) ([]upstream.Loaded, error) {
		w.pass(m)
		return w.look(int(e.ID[0] - '0')).Models, nil
	}
	p.Order = func(ctx context.Context, e Engine, o Order) error { return w.order(ctx, m, e, o) }
	return p
}

// order delivers an order with the effect that the scenario sets.
func (w *world) order(ctx context.Context, m machine, e Engine, o Order) error {
	w.mutex.Lock()
	if sent, last := w.clock.Now(), w.ends[o.FencingNumber]+validity; sent > last {
		w.violations = append(w.violations, fmt.Sprint("sent after the lease: ", sent-last, " ms"))
	}
	if past := o.ValidUntil - w.ends[o.FencingNumber]; past > 0 {
		w.violations = append(w.violations, fmt.Sprint("valid after the lease: ", past, " ms"))
	}
	f := memory.Effect{Kind: memory.OK}
	if w.calls < len(w.scenario.calls) && w.platform.Now() < quiet {
		f = w.scenario.calls[w.calls]
	}
	w.calls++
	w.mutex.Unlock()
	w.pass(m)
	if w.clock.Sleep(ctx, 5) != nil {
		return ctx.Err()
	}
	var err error
	switch f.Kind {
	case memory.OK:
		return w.deliver(m, e, o)
	case memory.LostReply:
		err = w.deliver(m, e, o)
	case memory.Late:
		w.late.Go(func() {
			time.Sleep(f.Late.Duration())
			_ = w.deliver(m, e, o)
		})
	}
	_ = w.clock.Sleep(ctx, clock.Second)
	return errors.Join(errLost, err)
}

// deliver hands an order to its engine and checks what it does to the models.
func (w *world) deliver(m machine, e Engine, o Order) error {
	body := engine.Order{FencingNumber: o.FencingNumber, ValidUntil: o.ValidUntil + m.skew}
	for _, l := range o.Models {
		body.Models = append(body.Models, engine.Model{Name: l.Name, Version: l.Version, Adapters: []engine.Adapter{}})
	}
	w.delivery.Lock()
	defer w.delivery.Unlock()
	before, boot := w.serving(), w.look(int(e.ID[0]-'0')).BootID
	if w.call(int(e.ID[0]-'0'), http.MethodPut, "/orders", body, nil) != http.StatusOK {
		return errLost
	}
	after := w.serving()
	for name, minimum := range map[poplarwinch.ModelName]int{"a": 3, "b": 1} {
		// An order that arrives late may meet a restarted engine, or a model whose load had not ended when the order was
		// decided.
		if e.BootID == boot && e.has(name) && after[name] < min(before[name], minimum) {
			w.violate("below the minimum: %s has %d of %d engines", name, after[name], minimum)
		}
	}
	if n := w.loading(); n > maxLoads {
		w.violate("%d concurrent loads", n)
	}
	w.mutex.Lock()
	last, now := w.ends[o.FencingNumber]+validity, w.clock.Now()
	stale := now > last
	for token, since := range w.active {
		stale = stale || token > o.FencingNumber && now >= since
	}
	w.mutex.Unlock()
	if stale {
		w.violate("stale order accepted: token %d", o.FencingNumber)
	}
	return nil
}

// loading counts the engines that load a model.
func (w *world) loading() (n int) {
	for i, e := range w.engines {
		orders := slices.DeleteFunc(e.Record().Orders, func(o emulatedengine.RecordedOrder) bool { return !o.Accepted })
		restarted := i == 0 && w.platform.Now()-w.scenario.restarted < loadTime
		if len(orders) == 0 || w.clock.Now()-orders[len(orders)-1].At >= loadTime || restarted {
			continue
		}
		for _, m := range orders[len(orders)-1].Models {
			if !contains(w.look(i).Models, upstream.Loaded{Name: poplarwinch.ModelName(m.Name), Version: m.Version}) {
				n++
				break
			}
		}
	}
	return n
}

// serving counts the engines that have each model.
func (w *world) serving() map[poplarwinch.ModelName]int {
	counts := map[poplarwinch.ModelName]int{}
	for _, e := range w.state() {
		for _, name := range namesOf(e.Models) {
			counts[name]++
		}
	}
	return counts
}

package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	probeInterval clock.Millis = 500
	// Loads are read less often than health: they lag anyway, and at 6.4 engines for each instance reading both twice a
	// second would take 11 KB/s of the 28 KB/s that an instance may spend on control.
	loadInterval clock.Millis = 900
	// Interval, probe and repeated probe take at most 2.5 s together, within the 3 s target for leaving upstreams.
	probeTimeout = clock.Second
	// An upstream whose last observation is older than this is probed by every instance, because its watchers may be
	// gone or unreachable.
	staleTimeout = 2 * clock.Second
	// An instance probes at most this number of stale upstreams at each interval. In a large fleet gossip alone takes
	// longer than staleTimeout, and 90 instances with 8 probes a second each add 2.5 probes a second for each of 290
	// upstreams.
	maxStaleProbes      = 4
	maxStaleProbesSmall = 64
	smallFleet          = 64
)

// Watcher probes upstreams and merges what it sees into the registry. Set the fields before Run.
type Watcher struct {
	// Health asks the upstream for its health. With fresh set it uses a new connection.
	Health func(ctx context.Context, u *Upstream, fresh bool) (Health, error)
	// Load reads an engine's load report.
	Load func(ctx context.Context, u *Upstream) (Load, error)
	// Owned reports whether this instance is one of the upstream's watchers; nil means that it watches all.
	Owned func(id poplarwinch.UpstreamID) bool
	// Changed is called with a probe's observation when it changes the state of the upstream, so that peers need not wait
	// for gossip; nil means that nobody is told.
	Changed func(o Observation)
	// Died is called when a probe reveals that the upstream's process ended.
	Died func(id poplarwinch.UpstreamID)

	registry *Registry
	clock    *clock.Clock
	mutex    sync.Mutex
	busy     map[poplarwinch.UpstreamID]*probeRun
	loads    map[poplarwinch.UpstreamID]clock.Millis // time of the last reading
	probes   sync.WaitGroup
}

// NewWatcher returns a watcher for the registry that uses the registry's clock.
func NewWatcher(r *Registry) *Watcher {
	return &Watcher{registry: r, clock: r.clock, busy: map[poplarwinch.UpstreamID]*probeRun{}, loads: map[poplarwinch.UpstreamID]clock.Millis{}}
}

// Run probes until ctx ends and returns ctx's error after the last probe.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.probes.Wait()
	for {
		w.round(ctx)
		if err := w.clock.Sleep(ctx, probeInterval); err != nil {
			return err
		}
	}
}

// round starts one probe of each upstream that is due.
func (w *Watcher) round(ctx context.Context) {
	w.forgetLoads()
	all := w.registry.Snapshot().All()
	now, budget := w.clock.Now(), maxStaleProbes
	if len(all) <= smallFleet {
		budget = maxStaleProbesSmall
	}
	for _, u := range all {
		if w.Owned != nil && !w.Owned(u.ID) {
			if budget == 0 || now-w.registry.seenAt(u.ID) <= staleTimeout {
				continue
			}
			budget--
		}
		if run, started := w.begin(u.ID); started {
			w.probes.Go(func() { w.run(ctx, u, run) })
		}
	}
}

// probeRun is one probe of an upstream that is under way.
type probeRun struct {
	started clock.Millis
	done    chan struct{}
}

// begin registers a new probe, or returns the one that is under way.
func (w *Watcher) begin(id poplarwinch.UpstreamID) (run *probeRun, started bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if run, ok := w.busy[id]; ok {
		return run, false
	}
	run = &probeRun{started: w.clock.Now(), done: make(chan struct{})}
	w.busy[id] = run
	return run, true
}

// Check probes an upstream because a request to it failed. It returns when the result of a probe that started after the
// call is merged and its death, if it died, has been reported, or when ctx ends.
func (w *Watcher) Check(ctx context.Context, u *Upstream) {
	called := w.clock.Now()
	for {
		run, started := w.begin(u.ID)
		if started {
			// The probe goes on after ctx, since its result matters to others, too.
			w.probes.Go(func() { w.run(context.WithoutCancel(ctx), u, run) })
		}
		select {
		case <-run.done:
		case <-ctx.Done():
			return
		}
		if started || run.started > called {
			return
		}
	}
}

// run probes one upstream once.
func (w *Watcher) run(ctx context.Context, u *Upstream, run *probeRun) {
	defer func() {
		w.mutex.Lock()
		delete(w.busy, u.ID)
		w.mutex.Unlock()
		close(run.done)
	}()
	o := w.probe(ctx, u)
	if ctx.Err() != nil {
		return
	}
	before := u.State()
	// The state is merged before the load is read, so that a slow report doesn't delay leaving.
	died, left := w.registry.merge([]Observation{o})
	if len(left) > 0 {
		w.registry.leaving(left)
	}
	for _, id := range died {
		if w.Died != nil {
			w.Died(id)
		}
	}
	if w.Changed != nil && u.State() != before {
		w.Changed(o)
	}
	if u.Kind != KindEngine || o.State == StateDown || w.Load == nil || !w.loadDue(u.ID) {
		return
	}
	if load := w.load(ctx, u); load.At != 0 {
		o.At, o.Load = w.clock.Now(), load
		w.registry.merge([]Observation{o})
	}
}

func (w *Watcher) probe(ctx context.Context, u *Upstream) Observation {
	health, err := w.health(ctx, u, false)
	if err != nil {
		health, err = w.health(ctx, u, true)
	}
	o := Observation{ID: u.ID, At: w.clock.Now(), State: StateDown}
	if err != nil {
		o.Refused = errors.Is(err, syscall.ECONNREFUSED)
		return o
	}
	o.BootID, o.Models = health.BootID, health.Models
	if o.Models == nil {
		o.Models = []Loaded{}
	}
	switch {
	case health.Leaving:
		o.State = StateLeaving
	case health.Ready:
		o.State = StateUp
	}
	return o
}

func (w *Watcher) health(ctx context.Context, u *Upstream, fresh bool) (Health, error) {
	return limited(ctx, w.clock, func(ctx context.Context) (Health, error) { return w.Health(ctx, u, fresh) })
}

// forgetLoads drops the times of upstreams that are gone, once they outnumber the present ones.
func (w *Watcher) forgetLoads() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.loads) > 2*len(w.registry.Snapshot().All()) {
		clear(w.loads)
	}
}

// loadDue reports whether the engine's load is to be read now, and notes it as read.
func (w *Watcher) loadDue(id poplarwinch.UpstreamID) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	if now-w.loads[id] < loadInterval {
		return false
	}
	w.loads[id] = now
	return true
}

// load returns the load report, or a zero one if it can't be read.
func (w *Watcher) load(ctx context.Context, u *Upstream) Load {
	load, err := limited(ctx, w.clock, func(ctx context.Context) (Load, error) { return w.Load(ctx, u) })
	if err != nil {
		return Load{}
	}
	if load.At == 0 {
		load.At = w.clock.Now()
	}
	return load
}

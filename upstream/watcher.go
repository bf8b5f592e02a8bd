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
	// probeInterval is the time between rounds of probes.
	probeInterval clock.Millis = 500
	// loadInterval is the minimum time between two reads of an engine's load report. Reports lag anyway, and with 6.4
	// engines per instance, reading health and load twice a second would use 11 KB/s of the 28 KB/s that an instance may
	// use for control traffic.
	loadInterval clock.Millis = 900
	// probeTimeout limits one health or load call. The probe interval, a probe and its retry take at most 2.5 s together,
	// within the 3 s target for detecting leaving upstreams.
	probeTimeout = clock.Second
	// staleTimeout is the age of the last observation above which an upstream is probed by every instance, because its
	// watchers may be gone or unreachable.
	staleTimeout = 2 * clock.Second
	// maxStaleProbes is the number of stale upstreams that an instance probes in each round. In a large fleet gossip alone
	// takes longer than staleTimeout, and 90 instances at 8 probes a second each add 2.5 probes a second to each of 290
	// upstreams.
	maxStaleProbes = 4
	// maxStaleProbesSmallFleet replaces maxStaleProbes in small fleets.
	maxStaleProbesSmallFleet = 64
	// smallFleetSize is the largest number of upstreams in a small fleet.
	smallFleetSize = 64
)

// Watcher probes upstreams and merges the observations into the registry. Set the fields before Run.
type Watcher struct {
	// Health reads an upstream's health, on a new connection if fresh is set.
	Health func(ctx context.Context, u *Upstream, fresh bool) (Health, error)
	// Load reads an engine's load report.
	Load func(ctx context.Context, u *Upstream) (Load, error)
	// Watches reports whether this instance is one of the upstream's watchers; if nil, it watches all upstreams.
	Watches func(id poplarwinch.UpstreamID) bool
	// OnStateChange, if set, is called with a probe's observation that changed the upstream's state, so that it can be
	// sent to peers before the next gossip exchange.
	OnStateChange func(o Observation)
	// OnDeath, if set, is called when a probe shows that the upstream's process died.
	OnDeath func(p EndedProcess)

	registry   *Registry
	clock      *clock.Clock
	mutex      sync.Mutex
	inProgress map[poplarwinch.UpstreamID]*probeRun
	loadReadAt map[poplarwinch.UpstreamID]clock.Millis
	probes     sync.WaitGroup
}

// NewWatcher returns a watcher for the registry that uses the registry's clock.
func NewWatcher(r *Registry) *Watcher {
	return &Watcher{registry: r, clock: r.clock, inProgress: map[poplarwinch.UpstreamID]*probeRun{}, loadReadAt: map[poplarwinch.UpstreamID]clock.Millis{}}
}

// Run probes until ctx ends, waits for the probes in progress and returns ctx's error.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.probes.Wait()
	for {
		w.startDueProbes(ctx)
		if err := w.clock.Sleep(ctx, probeInterval); err != nil {
			return err
		}
	}
}

// startDueProbes starts one probe of each upstream that is due: those that this instance watches, and stale ones within
// the limit for a round.
func (w *Watcher) startDueProbes(ctx context.Context) {
	w.pruneLoadTimes()
	all := w.registry.Snapshot().All()
	now, budget := w.clock.Now(), maxStaleProbes
	if len(all) <= smallFleetSize {
		budget = maxStaleProbesSmallFleet
	}
	for _, u := range all {
		if w.Watches != nil && !w.Watches(u.ID) {
			if budget == 0 || now-w.registry.lastObservedAt(u.ID) <= staleTimeout {
				continue
			}
			budget--
		}
		if run, started := w.beginProbe(u.ID); started {
			w.probes.Go(func() { w.run(ctx, u, run) })
		}
	}
}

// probeRun is a probe in progress.
type probeRun struct {
	started clock.Millis
	done    chan struct{}
}

// beginProbe registers a new probe of the upstream, or returns the one in progress with started unset.
func (w *Watcher) beginProbe(id poplarwinch.UpstreamID) (run *probeRun, started bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if run, ok := w.inProgress[id]; ok {
		return run, false
	}
	run = &probeRun{started: w.clock.Now(), done: make(chan struct{})}
	w.inProgress[id] = run
	return run, true
}

// Check probes an upstream because a request to it failed. It returns once the result of a probe that started after the
// call has been merged and a death has been reported, or when ctx ends.
func (w *Watcher) Check(ctx context.Context, u *Upstream) {
	called := w.clock.Now()
	for {
		run, started := w.beginProbe(u.ID)
		if started {
			// The probe continues after ctx ends, since others need its result, too.
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

// run probes one upstream once, merges the observation and then reads the load report if it is due.
func (w *Watcher) run(ctx context.Context, u *Upstream, run *probeRun) {
	defer func() {
		w.mutex.Lock()
		delete(w.inProgress, u.ID)
		w.mutex.Unlock()
		close(run.done)
	}()
	o := w.probe(ctx, u)
	if ctx.Err() != nil {
		return
	}
	before := u.State()
	// The state is merged before the load is read, so that a slow load report doesn't delay it.
	died, startedLeaving := w.registry.merge([]Observation{o})
	if len(startedLeaving) > 0 {
		w.registry.leaving(startedLeaving)
	}
	for _, p := range died {
		if w.OnDeath != nil {
			w.OnDeath(p)
		}
	}
	if w.OnStateChange != nil && u.State() != before {
		w.OnStateChange(o)
	}
	if u.Kind != KindEngine || o.State == StateDown || w.Load == nil || !w.loadDue(u.ID) {
		return
	}
	if load := w.load(ctx, u); load.At != 0 {
		o.At, o.Load = w.clock.Now(), load
		w.registry.merge([]Observation{o})
	}
}

// probe observes the upstream's health. It retries a failed call on a new connection, because a pooled one may be broken
// or stalled.
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
		o.Models = []LoadedModel{}
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
	return callWithTimeout(ctx, w.clock, func(ctx context.Context) (Health, error) { return w.Health(ctx, u, fresh) })
}

// pruneLoadTimes clears the load times once more than half of them belong to upstreams that are gone.
func (w *Watcher) pruneLoadTimes() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.loadReadAt) > 2*len(w.registry.Snapshot().All()) {
		clear(w.loadReadAt)
	}
}

// loadDue reports whether the engine's load is due to be read, and if so records it as read now.
func (w *Watcher) loadDue(id poplarwinch.UpstreamID) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	if now-w.loadReadAt[id] < loadInterval {
		return false
	}
	w.loadReadAt[id] = now
	return true
}

// load returns the engine's load report, or the zero value if it can't be read.
func (w *Watcher) load(ctx context.Context, u *Upstream) Load {
	load, err := callWithTimeout(ctx, w.clock, func(ctx context.Context) (Load, error) { return w.Load(ctx, u) })
	if err != nil {
		return Load{}
	}
	if load.At == 0 {
		load.At = w.clock.Now()
	}
	return load
}

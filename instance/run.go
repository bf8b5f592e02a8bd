package instance

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch"
)

// Run serves until ctx ends, then shuts down gracefully: it reports unready, keeps accepting requests until the load
// balancer has had time to notice, and completes the requests in progress.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.listeners.open(i.settings); err != nil {
		return err
	}
	i.limitRuntime()
	i.capListeners()
	loops, stop := context.WithCancel(context.Background())
	defer stop()
	listApplied := i.startLoops(loops)
	i.loops.Go(func() { i.clients.guard.Run(loops) })
	serveErrors := i.listeners.serve(i)
	i.log.WithField("version", i.version).WithField("caller", i.listeners.caller.Addr().String()).Info("instance started")
	i.loops.Go(func() { i.becomeReady(loops, listApplied) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
	}
	i.shutDown()
	leaving, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	i.members.Leave(leaving)
	cancel()
	stop()
	i.loops.Wait()
	i.log.Info("instance stopped")
	return err
}

// startLoops starts the background loops. The returned channel is closed once the first instance list is applied.
func (i *Instance) startLoops(ctx context.Context) <-chan struct{} {
	i.startLoop(ctx, i.store.Run)
	i.startLoop(ctx, i.claims.Run)
	i.startLoop(ctx, i.guard.Run)
	i.startLoop(ctx, i.suspectsBackup.Run)
	i.startLoop(ctx, i.reservations.Run)
	i.startLoop(ctx, i.sweeper.Run)
	i.startLoop(ctx, i.runPlacement)
	i.startLoop(ctx, i.follower.Run)
	i.startLoop(ctx, i.watcher.Run)
	i.startLoop(ctx, i.members.Run)
	i.startLoop(ctx, func(ctx context.Context) error { return i.peers.Serve(ctx, i.listeners.peer) })
	i.startLoop(ctx, func(ctx context.Context) error { return i.operator.Serve(ctx, i.listeners.operator) })
	list := &listFollower{
		clock: i.clock, log: i.log, self: i.self(), follow: i.roster.Follow, registry: i.registry, setCandidates: i.members.SetCandidates,
		firstApplied: make(chan struct{}),
	}
	i.loops.Go(func() { list.run(ctx) })
	i.loops.Go(func() { i.runSuspectNotices(ctx) })
	return list.firstApplied
}

// becomeReady reports the instance ready once all upstreams have been probed and the stored suspects were read, or after a time limit. An instance
// without the platform's list may still learn of upstreams from peers.
func (i *Instance) becomeReady(ctx context.Context, listApplied <-chan struct{}) {
	timeout, stop := i.clock.After(instanceListTimeout)
	defer stop()
	select {
	case <-listApplied:
	case <-timeout:
	case <-ctx.Done():
		return
	}
	for end := i.clock.Now() + firstProbeTimeout; i.clock.Now() < end && !(i.upstreamsProbed() && i.suspectsBackup.Loaded()); {
		if i.clock.Sleep(ctx, readyPollInterval) != nil {
			return
		}
	}
	i.entry.SetReady(true)
	i.log.WithField("upstreams", len(i.registry.Snapshot().All())).Info("instance ready")
}

// upstreamsProbed reports whether this instance or a peer has probed every known upstream.
func (i *Instance) upstreamsProbed() bool {
	observations, _ := i.registry.Changes(0)
	probed := map[poplarwinch.UpstreamID]bool{}
	for _, o := range observations {
		probed[o.ID] = o.At != 0
	}
	for _, u := range i.registry.Snapshot().All() {
		if !probed[u.ID] {
			return false
		}
	}
	return true
}

// startLoop runs a background loop until ctx ends and logs an unexpected end.
func (i *Instance) startLoop(ctx context.Context, run func(context.Context) error) {
	i.loops.Go(func() {
		if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			i.log.WithError(err).Error("loop ended")
		}
	})
}

// shutDown stops accepting requests and waits up to the drain timeout for those in progress.
func (i *Instance) shutDown() {
	startedAt := i.clock.Now()
	i.entry.SetReady(false)
	i.listeners.disableKeepAlives()
	i.log.WithField("in-flight", i.entry.InFlight()).Info("shutting down; reporting unready and still accepting requests")
	_ = i.clock.Sleep(context.Background(), i.settings.Stop.Unready)
	drainTimeout := i.settings.Stop.Drain
	if drainTimeout == 0 {
		drainTimeout = i.maxRequestTimeout()
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout.Duration())
	defer cancel()
	if err := i.entry.Stop(ctx); err != nil {
		i.log.WithField("in-flight", i.entry.InFlight()).Error("requests still in progress at the end of the drain time")
	}
	i.settle(ctx)
	i.listeners.close(ctx)
	i.log.WithField("took-ms", int64(i.clock.Now()-startedAt)).Info("requests in progress have ended")
}

// settle waits until uncertain writes about non-repeatable calls are confirmed and the reservations of engine groups are
// released, or ctx ends. Without a confirmed write, a repeat of such a call gets the outcome unknown.
func (i *Instance) settle(ctx context.Context) {
	for i.claims.Pending()+i.reservations.Pending() > 0 {
		if i.clock.Sleep(ctx, settlePollInterval) != nil {
			i.log.WithField("claims", i.claims.Pending()).WithField("reservations", i.reservations.Pending()).
				Error("not settled: repeats of these calls get the outcome unknown, the reservations are reclaimed after their deadline")
			return
		}
	}
}

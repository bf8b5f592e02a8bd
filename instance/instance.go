// Package instance assembles one entry instance: its clients, decisions, servers and graceful shutdown.
package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/entry"
	"github.com/poplarwinch/poplarwinch/lease"
	"github.com/poplarwinch/poplarwinch/membership"
	"github.com/poplarwinch/poplarwinch/objects"
	"github.com/poplarwinch/poplarwinch/operator"
	"github.com/poplarwinch/poplarwinch/peer"
	"github.com/poplarwinch/poplarwinch/placement"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/roster"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/service"
	"github.com/poplarwinch/poplarwinch/settings"
	"github.com/poplarwinch/poplarwinch/table"
	"github.com/poplarwinch/poplarwinch/token"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// A fresh instance waits this long for the instance list, and then for the first probe of each upstream.
	listPatience  = 5 * clock.Second
	probePatience = 3 * clock.Second
	readyPoll     = 20 * clock.Millis(1)
	settlePoll    = 50 * clock.Millis(1)
)

// leaveTimeout bounds telling the peers that this instance leaves; they notice its silence otherwise.
const leaveTimeout = 2 * time.Second

// Instance is one entry instance.
type Instance struct {
	settings *settings.Settings
	clock    *clock.Clock
	log      log.Interface
	version  string

	engines  *engine.Client
	services *service.Client
	table    *table.Table
	objects  *objects.Objects
	roster   *roster.Roster

	registry   *upstream.Registry
	watcher    *upstream.Watcher
	router     *routing.Router
	admission  *admission.Controller
	retries    *admission.RetryBudget
	quarantine *quarantine.Register
	claims     *claim.Ledger
	groups     *reservation.Builder
	sweeper    *reservation.Sweeper
	lease      *lease.Lease
	planner    *placement.Planner
	follower   *routing.Follower
	store      *configuration.Store
	members    *membership.Members
	peers      *peer.Endpoint
	entry      *entry.Server
	operator   *operator.Server
	alarms     *alarms

	listeners listeners
	loops     sync.WaitGroup
}

// New returns an instance with the given settings; Run starts it.
func New(s *settings.Settings, opts ...Option) (*Instance, error) {
	i := &Instance{settings: s, clock: clock.System(), log: log.Log}
	for _, opt := range opts {
		opt(i)
	}
	i.log = i.log.WithField("instance", string(s.Instance.ID))
	i.alarms = newAlarms(i.clock)
	i.connect()
	if err := i.join(); err != nil {
		return nil, err
	}
	i.decide()
	i.serve()
	i.operate()
	return i, nil
}

// connect creates the clients of upstreams and platform.
func (i *Instance) connect() {
	p := i.settings.Platform
	if i.engines == nil {
		i.engines = engine.New()
	}
	i.services = service.New()
	i.table = table.New(
		table.WithEndpoint(p.TableEndpoint), table.WithName(p.TableName), table.WithRegion(p.Region),
		table.WithCredentials(p.AccessKeyID, p.SecretAccessKey.Reveal()), table.WithTimeout(p.Timeout.Duration()),
	)
	i.objects = objects.New(
		objects.WithEndpoint(p.ObjectsEndpoint), objects.WithBucket(p.Bucket), objects.WithRegion(p.Region),
		objects.WithCredentials(p.AccessKeyID, p.SecretAccessKey.Reveal()), objects.WithTimeout(p.Timeout.Duration()),
	)
	i.roster = roster.New(roster.WithEndpoint(p.InstanceList), roster.WithTimeout(p.Timeout.Duration()))
}

// decide creates the decision logic.
func (i *Instance) decide() {
	domain := i.settings.Instance.FailureDomain
	i.quarantine = quarantine.New(quarantine.WithClock(i.clock), quarantine.WithViolated(i.alarms.violated))
	i.registry = upstream.New(
		upstream.WithClock(i.clock), upstream.WithDied(i.died), upstream.WithLeaving(i.leaving), upstream.WithViolated(i.alarms.violated),
	)
	i.watcher = i.newWatcher()
	i.router = routing.New(
		routing.WithClock(i.clock), routing.WithFailureDomain(domain), routing.WithViolated(i.alarms.violated),
	)
	i.admission = admission.New(
		admission.WithClock(i.clock), admission.WithViolated(i.alarms.violated), admission.WithInstances(i.instances),
		admission.WithForecast(func(p *routing.Prompt) (routing.Forecast, bool) {
			return i.router.Forecast(i.registry.Snapshot(), p)
		}),
	)
	i.retries = admission.NewRetryBudget(i.clock)
	i.reserve()
	i.place()
	i.follow()
	i.claims = claim.New(
		claim.WithClock(i.clock), claim.WithLog(i.log), claim.WithTable(i.table.Get, i.table.Put),
		claim.WithObjects(i.objects.Get, i.objects.PutNew), claim.WithTimeLimit(i.longestTimeout),
		claim.WithViolation(func(err error) { i.alarms.violated("claim", err.Error()) }),
	)
	i.store = configuration.New(
		configuration.WithService(i.settings.Instance.Service), configuration.WithClock(i.clock),
		configuration.WithTable(configurationTable(i.table)), configuration.WithObjects(configurationObjects(i.objects)),
		configuration.WithLogger(i.log), configuration.WithCount(i.alarms.configuration),
		configuration.WithPeers(i.configurationPeers()), configuration.WithWatching(i.readsManifest),
		configuration.WithAnnounce(i.announce), configuration.WithActivated(i.activated),
	)
}

// serve creates the server for callers.
func (i *Instance) serve() {
	c := i.settings.Caller
	limits := entry.DefaultLimits()
	limits.MaxBody, limits.BodyMemory = c.MaxBody, c.BodyMemory
	limits.WriteStall, limits.MaxRequests = c.WriteStall, int64(c.MaxRequests)
	i.entry = entry.New(
		entry.WithClock(i.clock), entry.WithLog(i.log), entry.WithLimits(limits), entry.WithActive(i.store.Active),
		entry.WithRouting(i.registry, i.router), entry.WithAdmission(i.admission, i.retries),
		entry.WithQuarantine(i.quarantine, quarantine.NewGuard(i.clock, i.table.Get, i.table.Put)), entry.WithCheck(i.watcher.Check), entry.WithEngines(i.engines, i.groups),
		entry.WithServices(i.services, i.claims), entry.WithSigner(token.NewSigner([]byte(i.settings.Peers.Secret.Reveal()))),
	)
}

// Run serves until ctx ends, then shuts down gracefully: it reports unready, keeps accepting while the load balancer's
// view lags, and finishes the requests in progress.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.listeners.open(i.settings); err != nil {
		return err
	}
	loops, stop := context.WithCancel(context.Background())
	defer stop()
	known := i.start(loops)
	failed := i.listeners.serve(i)
	i.log.WithField("version", i.version).WithField("caller", i.listeners.caller.Addr().String()).Info("instance started")
	i.loops.Go(func() { i.becomeReady(loops, known) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
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

// start starts the loops of the instance. The channel is closed when the instance list has been read.
func (i *Instance) start(ctx context.Context) <-chan struct{} {
	i.loop(ctx, i.store.Run)
	i.loop(ctx, i.claims.Run)
	i.loop(ctx, i.groups.Run)
	i.loop(ctx, i.sweeper.Run)
	i.loop(ctx, i.runPlacement)
	i.loop(ctx, i.follower.Run)
	i.loop(ctx, i.watcher.Run)
	i.loop(ctx, i.members.Run)
	i.loop(ctx, func(ctx context.Context) error { return i.peers.Serve(ctx, i.listeners.peer) })
	i.loop(ctx, func(ctx context.Context) error { return i.operator.Serve(ctx, i.listeners.operator) })
	l := &listing{
		clock: i.clock, log: i.log, self: i.self(), follow: i.roster.Follow, registry: i.registry, offer: i.members.Offer,
		first: make(chan struct{}),
	}
	i.loops.Go(func() { l.run(ctx) })
	return l.first
}

// becomeReady reports the instance ready once it has seen its upstreams, or after a time limit: without the platform's
// list it may still learn of upstreams from peers.
func (i *Instance) becomeReady(ctx context.Context, known <-chan struct{}) {
	limit, stop := i.clock.After(listPatience)
	defer stop()
	select {
	case <-known:
	case <-limit:
	case <-ctx.Done():
		return
	}
	for end := i.clock.Now() + probePatience; i.clock.Now() < end && !i.observed(); {
		if i.clock.Sleep(ctx, readyPoll) != nil {
			return
		}
	}
	i.entry.SetReady(true)
	i.log.WithField("upstreams", len(i.registry.Snapshot().All())).Info("instance ready")
}

// observed reports whether each known upstream has been probed by this instance or a peer.
func (i *Instance) observed() bool {
	observations, _ := i.registry.Changes(0)
	seen := map[poplarwinch.UpstreamID]bool{}
	for _, o := range observations {
		seen[o.ID] = o.At != 0
	}
	for _, u := range i.registry.Snapshot().All() {
		if !seen[u.ID] {
			return false
		}
	}
	return true
}

func (i *Instance) loop(ctx context.Context, run func(context.Context) error) {
	i.loops.Go(func() {
		if err := run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			i.log.WithError(err).Error("loop ended")
		}
	})
}

func (i *Instance) newWatcher() *upstream.Watcher {
	p := &prober{clock: i.clock, engines: i.engines, services: i.services}
	w := upstream.NewWatcher(i.registry)
	w.Health, w.Load, w.Owned = p.health, p.load, i.watches
	w.Died, w.Changed = i.died, i.changed
	return w
}

func (i *Instance) self() membership.Member {
	return membership.Member{
		ID: i.settings.Instance.ID, FailureDomain: i.settings.Instance.FailureDomain,
		Address: i.settings.Advertise.Peer.String(),
	}
}

// longestTimeout returns the longest time limit of requests.
func (i *Instance) longestTimeout() clock.Millis {
	if x := i.store.Active(); x != nil {
		return x.Manifest.Limits.MaxTimeout
	}
	return 10 * clock.Minute
}

// shutDown stops accepting requests and waits for those in progress.
func (i *Instance) shutDown() {
	started := i.clock.Now()
	i.entry.SetReady(false)
	i.listeners.leaveConnections()
	i.log.WithField("in-flight", i.entry.InFlight()).Info("shutting down; unready and still accepting")
	_ = i.clock.Sleep(context.Background(), i.settings.Stop.Unready)
	drain := i.settings.Stop.Drain
	if drain == 0 {
		drain = i.longestTimeout()
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain.Duration())
	defer cancel()
	if err := i.entry.Stop(ctx); err != nil {
		i.log.WithField("in-flight", i.entry.InFlight()).Error("requests still in progress at the end of the drain time")
	}
	i.settle(ctx)
	i.listeners.close(ctx)
	i.log.WithField("took-ms", int64(i.clock.Now()-started)).Info("requests in progress have ended")
}

// settle waits until uncertain writes about non-repeatable calls are confirmed, because repeats of those calls would
// otherwise be told that their outcome is unknown, and until the memory of groups is freed.
func (i *Instance) settle(ctx context.Context) {
	for i.claims.Pending()+i.groups.Pending() > 0 {
		if i.clock.Sleep(ctx, settlePoll) != nil {
			i.log.WithField("claims", i.claims.Pending()).WithField("reservations", i.groups.Pending()).
				Error("not settled: repeats of these calls get the outcome unknown, the reservations are reclaimed after their deadline")
			return
		}
	}
}

// Package instance assembles an entry instance from its clients, decision logic and servers, and runs it until its
// graceful shutdown.
package instance

import (
	"sync"
	"time"

	"github.com/apex/log"

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
	// instanceListTimeout is how long a new instance waits for the instance list before it reports ready.
	instanceListTimeout = 5 * clock.Second
	// firstProbeTimeout is how long it then waits for the first probe of each upstream.
	firstProbeTimeout = 3 * clock.Second
	// readyPollInterval is the interval at which it checks for these probes.
	readyPollInterval = 20 * clock.Millis(1)
	// settlePollInterval is the interval at which a shutdown checks for pending claim writes and reservations.
	settlePollInterval = 50 * clock.Millis(1)
)

// leaveTimeout bounds the notification of the peers that this instance leaves. Peers that miss it detect later
// that the instance no longer answers.
const leaveTimeout = 2 * time.Second

// Instance is an entry instance: one process of the server.
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
	guard      *quarantine.Guard
	// suspectsBackup keeps the suspects of quarantine in the table.
	suspectsBackup *quarantine.Backup
	// suspectsChanged has an element while peers are to be told of suspects.
	suspectsChanged chan struct{}
	claims          *claim.Ledger
	reservations    *reservation.Builder
	sweeper         *reservation.Sweeper
	lease           *lease.Lease
	planner         *placement.Planner
	follower        *routing.Follower
	store           *configuration.Store
	members         *membership.Members
	peers           *peer.Endpoint
	entry           *entry.Server
	operator        *operator.Server
	alarms          *alarms

	clients   clients
	listeners listeners
	loops     sync.WaitGroup
}

// New returns an instance with the given settings. Run starts it.
func New(s *settings.Settings, opts ...Option) (*Instance, error) {
	i := &Instance{settings: s, clock: clock.System(), log: log.Log, suspectsChanged: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(i)
	}
	i.log = i.log.WithField("instance", string(s.Instance.ID))
	i.alarms = newAlarms(i.clock)
	i.initPlatformClients()
	if err := i.initPeers(); err != nil {
		return nil, err
	}
	i.initDecisions()
	i.initClients()
	i.initEntry()
	i.initOperator()
	return i, nil
}

// initPlatformClients creates the clients of the upstreams and of the platform services.
func (i *Instance) initPlatformClients() {
	platform := i.settings.Platform
	if i.engines == nil {
		i.engines = engine.New()
	}
	i.services = service.New()
	i.table = table.New(
		table.WithEndpoint(platform.TableEndpoint), table.WithName(platform.TableName), table.WithRegion(platform.Region),
		table.WithCredentials(platform.AccessKeyID, platform.SecretAccessKey.Reveal()), table.WithTimeout(platform.Timeout.Duration()),
	)
	i.objects = objects.New(
		objects.WithEndpoint(platform.ObjectsEndpoint), objects.WithBucket(platform.Bucket), objects.WithRegion(platform.Region),
		objects.WithCredentials(platform.AccessKeyID, platform.SecretAccessKey.Reveal()), objects.WithTimeout(platform.Timeout.Duration()),
	)
	i.roster = roster.New(roster.WithEndpoint(platform.InstanceList), roster.WithTimeout(platform.Timeout.Duration()))
}

// initDecisions creates the components that observe upstreams, admit and route requests, and hold the configuration.
func (i *Instance) initDecisions() {
	domain := i.settings.Instance.FailureDomain
	i.quarantine = quarantine.New(
		quarantine.WithClock(i.clock), quarantine.WithViolated(i.alarms.reportInvariant), quarantine.WithOnChange(i.scheduleSuspectNotice),
		quarantine.WithInstances(i.allInstances), quarantine.WithLimit(maxSuspects),
	)
	i.guard = quarantine.NewGuard(i.clock, i.table.Get, i.table.Put)
	i.initSuspectsBackup()
	i.registry = upstream.New(
		upstream.WithClock(i.clock), upstream.WithOnDeath(i.onUpstreamDied), upstream.WithOnLeaving(i.onUpstreamsLeaving), upstream.WithViolated(i.alarms.reportInvariant),
	)
	i.watcher = i.newWatcher()
	i.router = routing.New(
		routing.WithClock(i.clock), routing.WithFailureDomain(domain), routing.WithViolated(i.alarms.reportInvariant),
	)
	i.admission = admission.New(
		admission.WithClock(i.clock), admission.WithViolated(i.alarms.reportInvariant), admission.WithInstances(i.instances),
		admission.WithForecast(func(p *routing.Prompt) (routing.Forecast, bool) {
			return i.router.Forecast(i.registry.Snapshot(), p)
		}),
	)
	i.retries = admission.NewRetryBudget(i.clock)
	i.initReservations()
	i.initPlacement()
	i.initFollower()
	i.claims = claim.New(
		claim.WithClock(i.clock), claim.WithLog(i.log), claim.WithTable(i.table.Get, i.table.Put),
		claim.WithObjects(i.objects.Get, i.objects.PutNew), claim.WithTimeLimit(i.maxRequestTimeout),
		claim.WithViolation(func(err error) { i.alarms.reportInvariant("claim", err.Error()) }),
	)
	i.store = configuration.New(
		configuration.WithService(i.settings.Instance.Service), configuration.WithClock(i.clock),
		configuration.WithTable(configurationTable(i.table)), configuration.WithObjects(configurationObjects(i.objects)),
		configuration.WithLogger(i.log), configuration.WithAlarmCounter(i.alarms.configuration),
		configuration.WithPeers(i.configurationPeers()), configuration.WithWatching(i.readsManifest),
		configuration.WithAnnounce(i.announceVersion), configuration.WithActivated(i.onManifestActivated),
	)
}

// initEntry creates the server for callers' requests.
func (i *Instance) initEntry() {
	caller := i.settings.Caller
	limits := entry.DefaultLimits()
	limits.MaxBody, limits.BodyMemory = caller.MaxBody, i.clients.bodies
	limits.WriteStall, limits.MaxRequests = caller.WriteStall, int64(caller.MaxRequests)
	i.entry = entry.New(
		entry.WithClock(i.clock), entry.WithLog(i.log), entry.WithLimits(limits), entry.WithClientMemory(i.clients.guard.ReclaimBody, i.clients.answers), entry.WithActiveManifest(i.store.Active),
		entry.WithRouting(i.registry, i.router), entry.WithAdmission(i.admission, i.retries),
		entry.WithQuarantine(i.quarantine, i.guard), entry.WithProbe(i.watcher.Check), entry.WithEngines(i.engines, i.reservations),
		entry.WithServices(i.services, i.claims), entry.WithSigner(token.NewSigner([]byte(i.settings.Peers.Secret.Reveal()))),
	)
}

func (i *Instance) newWatcher() *upstream.Watcher {
	probe := &prober{clock: i.clock, engines: i.engines, services: i.services}
	watcher := upstream.NewWatcher(i.registry)
	watcher.Health, watcher.Load, watcher.Watches = probe.health, probe.load, i.watches
	watcher.OnDeath, watcher.OnStateChange = i.onUpstreamDied, i.onStateChanged
	return watcher
}

func (i *Instance) self() membership.Member {
	return membership.Member{
		ID: i.settings.Instance.ID, FailureDomain: i.settings.Instance.FailureDomain,
		Address: i.settings.Advertise.Peer.String(),
	}
}

// maxRequestTimeout returns the longest timeout that the active manifest permits, or 10 min without a manifest.
func (i *Instance) maxRequestTimeout() clock.Millis {
	if active := i.store.Active(); active != nil {
		return active.Manifest.Limits.MaxTimeout
	}
	return 10 * clock.Minute
}

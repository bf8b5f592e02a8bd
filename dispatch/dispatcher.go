package dispatch

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/internal/bytebudget"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

// defaultMemory is the memory for buffered responses without WithMemory.
const defaultMemory poplarwinch.Bytes = 64 << 20

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	clock     *clock.Clock
	log       log.Interface
	fleet     *fleet.Fleet
	domain    poplarwinch.FailureDomain
	active    func() *route.Table
	send      func(ctx context.Context, c *Call) (*Answer, error)
	reachable func(ctx context.Context, s fleet.Server) bool
	newBudget func() *admission.SharedRetryBudget
	suspects  *quarantine.Register
	// region returns the region of a failure domain, or an empty name if it is not known.
	region func(domain poplarwinch.FailureDomain) route.Region
	// hold returns the time for which nothing is sent to servers because this instance may have missed an evacuation.
	hold func() clock.Millis
	// listVersion returns the version of the server list.
	listVersion func() replica.Version
	// listLoaded reports whether the server list was loaded.
	listLoaded func() bool
	// reservations reserves KV cache on several engines for one prompt.
	reservations *reservation.Builder
	// reservationTTL is the time after which a reservation expires unless it is renewed.
	reservationTTL clock.Millis
	// unusedLimit is the time for which a reservation may be held without being used; zero means no limit.
	unusedLimit clock.Millis
	// reservationInUse asks the engine at the address whether a reservation is in use.
	reservationInUse func(ctx context.Context, address string, id engine.ReservationID) (bool, error)
	metrics          *requestMetrics
	// memory bounds the buffered responses.
	memory *bytebudget.Budget
	// cost learns the cost of requests; nil if nothing is learned.
	cost     *cost.Estimator
	costUses CostUses

	// decisionMutex makes selecting servers and recording the load on them atomic.
	decisionMutex sync.Mutex
	waiting       *waitingRequests
	budgets       sync.Map // poplarwinch.ServiceName to *admission.SharedRetryBudget
	inFlight      atomic.Int64
	// waitingEnds is closed once requests that wait for a server are rejected.
	waitingEnds chan struct{}
	// ending is done once requests without a response are ended.
	ending context.Context
	// rejectWaiting and endRequests take effect once.
	rejectWaiting func()
	endRequests   func()
	// outages has the servers that broke off attempts and may have crashed.
	outages *outages
	// background tracks goroutines that may outlive their request.
	background sync.WaitGroup
}

// New returns a dispatcher. WithFleet, WithActive, WithSend, WithReachable, WithBudget and WithSuspects are required.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		clock: clock.Monotonic(), log: log.Log, metrics: newMetrics(),
		hold:        func() clock.Millis { return 0 },
		region:      func(poplarwinch.FailureDomain) route.Region { return "" },
		listVersion: func() replica.Version { return 0 }, listLoaded: func() bool { return true }, memory: bytebudget.New(defaultMemory),
	}
	d.waitingEnds = make(chan struct{})
	d.waiting = newWaitingRequests(d)
	d.rejectWaiting = sync.OnceFunc(func() { close(d.waitingEnds) })
	d.ending, d.endRequests = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(d)
	}
	d.outages = newOutages(d)
	d.fleet.OnApplied(d.outages.listChanged)
	return d
}

// RejectWaiting rejects the requests that wait for a server and were sent to none: the process may exit before they are answered. It can't
// be undone.
func (d *Dispatcher) RejectWaiting() { d.rejectWaiting() }

// EndRequests ends all requests, so that those without a response get an error before the process exits. It can't be undone.
func (d *Dispatcher) EndRequests() {
	d.rejectWaiting()
	d.endRequests()
}

// version returns the version of the active configuration, or zero if there is none.
func (d *Dispatcher) version() route.Version {
	if t := d.active(); t != nil {
		return t.Version
	}
	return 0
}

// Now returns the current time on the dispatcher's clock.
func (d *Dispatcher) Now() clock.Millis { return d.clock.Now() }

// InFlight returns the number of running and waiting requests.
func (d *Dispatcher) InFlight() int64 { return d.inFlight.Load() }

// Wait waits until the background work of ended requests is done.
func (d *Dispatcher) Wait() { d.background.Wait() }

// Run serves one request and returns when its response has been written to reply. The error is a *poplarwinch.Error; if
// reply.Begin was called before, the caller of Run must abort the response so that it can't be taken for a complete one.
func (d *Dispatcher) Run(ctx context.Context, r *Request, reply Reply) error {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	d.budget(r.Service).Earn()
	x := newRun(d, r, reply)
	err := x.run(ctx)
	x.record(err)
	return err
}

// budget returns the retry budget of the service.
func (d *Dispatcher) budget(service poplarwinch.ServiceName) *admission.SharedRetryBudget {
	if b, ok := d.budgets.Load(service); ok {
		return b.(*admission.SharedRetryBudget)
	}
	b, _ := d.budgets.LoadOrStore(service, d.newBudget())
	return b.(*admission.SharedRetryBudget)
}

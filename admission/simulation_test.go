package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// simEngines is the number of engines.
	simEngines = 15
	// simInstances is the number of instances.
	simInstances = 6
	// simStart is the clock's time at the start, in ms.
	simStart = clock.Millis(1_000_000)
	// simReportDelay is the delay with which load reports reach the instances.
	simReportDelay = clock.Second
	// simReportInterval is the interval between load reports of an engine.
	simReportInterval = 500 * clock.Millis(1)
)

var simDomains = []poplarwinch.FailureDomain{"a", "b", "c"}

// arrival is a simulated request.
type arrival struct {
	atMicros int64
	tokens   int
	class    routing.Class
	blocks   []uint64
	decode   int
	instance int
	customer poplarwinch.CustomerID
	limit    clock.Millis
}

// answer is the result of a simulated request.
type answer struct {
	arrival
	first    float64 // time to first token in milliseconds, zero without a first token
	inTime   bool
	rejected bool
}

// event is a function scheduled at a time in microseconds.
type event struct {
	atMicros int64
	run      func()
}

// simulation sends arrivals through instances to fake engines, in virtual time.
type simulation struct {
	nowMicros int64
	events    []event // ordered by time
	manual    *clock.Manual
	engines   map[poplarwinch.UpstreamID]*fakeEngine
	instances []*simInstance
	answers   []*answer
	violated  func(name, detail string)
}

// simInstance is one simulated instance.
type simInstance struct {
	s          *simulation
	id         poplarwinch.InstanceID
	registry   *upstream.Registry
	policy     routing.Policy
	router     *routing.Router
	controller *Controller
	queued     []*queuedRequest
}

// queuedRequest is a request waiting for admission; decided is called with its result.
type queuedRequest struct {
	waiter  *waiter
	decided func(error)
}

// setup configures a simulation.
type setup struct {
	// policy is the name of the routing policy; unknown names select the router.
	policy string
	// admission enables admission control.
	admission bool
	// fifo makes the engines ignore priorities.
	fifo     bool
	seed     uint64
	arrivals []arrival
	violated func(name, detail string)
}

// simulate runs a simulation until 60 s after the last arrival.
func simulate(c setup) []*answer {
	s := &simulation{manual: clock.NewManual(simStart), engines: map[poplarwinch.UpstreamID]*fakeEngine{}, violated: c.violated}
	var list []upstream.Listed
	for i := range simEngines {
		id := poplarwinch.UpstreamID(fmt.Sprintf("engine-%02d", i))
		s.engines[id] = &fakeEngine{s: s, id: id, priority: !c.fifo, cache: map[uint64]int{}}
		list = append(list, upstream.Listed{ID: id, Kind: upstream.KindEngine, Pool: "drafting", FailureDomain: simDomains[i%3], Ready: true})
	}
	for i := range simInstances {
		s.instances = append(s.instances, newSimInstance(s, c, i, list))
	}
	for i, l := range list {
		s.report(s.engines[l.ID], int64(i)*30_000)
	}
	s.next(c.arrivals)
	for s.nowMicros < c.arrivals[len(c.arrivals)-1].atMicros+60e6 {
		e := s.events[0]
		s.events = s.events[1:]
		s.manual.Advance(clock.Millis(e.atMicros/1000) - clock.Millis(s.nowMicros/1000))
		s.nowMicros = e.atMicros
		e.run()
	}
	return s.answers
}

func newSimInstance(s *simulation, c setup, i int, list []upstream.Listed) *simInstance {
	domain, random := simDomains[i%3], rand.New(rand.NewPCG(c.seed, uint64(i))).Uint64
	n := &simInstance{s: s, id: poplarwinch.InstanceID(fmt.Sprint(i))}
	n.registry = upstream.New(upstream.WithClock(s.manual.Clock()), upstream.WithViolated(s.violated))
	n.registry.Apply(list)
	n.router = routing.New(routing.WithClock(s.manual.Clock()), routing.WithFailureDomain(domain),
		routing.WithRandom(random), routing.WithViolated(s.violated))
	baselines := map[string]func() *routing.Baseline{
		"round robin": routing.RoundRobin, "fewest requests": routing.FewestRequests,
		"fewest tokens": routing.FewestTokens, "power of two choices": routing.PowerOfTwoChoices,
	}
	n.policy = n.router
	if b := baselines[c.policy]; b != nil {
		baseline := b()
		baseline.Random, baseline.Domain = random, domain
		n.policy = baseline
	}
	if c.admission {
		n.controller = New(WithClock(s.manual.Clock()), WithViolated(s.violated), WithInstances(func() int { return simInstances / len(simDomains) }),
			WithForecast(func(p *routing.Prompt) (routing.Forecast, bool) {
				return n.router.Forecast(n.registry.Snapshot(), p)
			}))
		s.every(int64(pollInterval)*1000, int64(i)*100, n.poll)
	}
	s.every(1e6, int64(i)*150_000, func() {
		for _, peer := range s.instances {
			if peer != n {
				peer.registry.ReplaceAnnouncements(n.id, n.registry.Announcements())
			}
		}
	})
	return n
}

// report periodically sends the engine's load to all instances, with a delay.
func (s *simulation) report(e *fakeEngine, offset int64) {
	s.every(int64(simReportInterval)*1000, offset, func() {
		l := e.load(s.manual.Now())
		s.after(int64(simReportDelay)*1000, func() {
			o := upstream.Observation{ID: e.id, At: s.manual.Now(), State: upstream.StateUp, Load: l, Models: []upstream.LoadedModel{{Name: "drafting"}}}
			for _, n := range s.instances {
				n.registry.Merge([]upstream.Observation{o})
			}
		})
	})
}

// next schedules the first arrival, which schedules the next one.
func (s *simulation) next(arrivals []arrival) {
	if len(arrivals) > 0 {
		s.after(arrivals[0].atMicros-s.nowMicros, func() {
			s.instances[arrivals[0].instance].arrive(arrivals[0])
			s.next(arrivals[1:])
		})
	}
}

// after schedules a function.
func (s *simulation) after(micros int64, run func()) {
	e := event{s.nowMicros + micros, run}
	i, _ := slices.BinarySearchFunc(s.events, e.atMicros+1, func(x event, atMicros int64) int { return cmp.Compare(x.atMicros, atMicros) })
	s.events = slices.Insert(s.events, i, e)
}

// every schedules a function at regular intervals, first after offset.
func (s *simulation) every(micros, offset int64, run func()) {
	s.after(offset, func() {
		run()
		s.every(micros, micros, run)
	})
}

func (n *simInstance) arrive(a arrival) {
	result := &answer{arrival: a}
	n.s.answers = append(n.s.answers, result)
	p := &routing.Prompt{
		Customer: a.customer, Model: "drafting", Tokens: poplarwinch.Tokens(a.tokens), MaxNewTokens: poplarwinch.Tokens(a.decode),
		Blocks: a.blocks, Class: a.class,
	}
	if n.controller == nil {
		n.send(p, result)
		return
	}
	r := &Request{Prompt: p, Deadline: n.s.manual.Now() + a.limit}
	w, err := n.controller.admitOrQueue(r)
	decided := func(err error) {
		if result.rejected = err != nil; !result.rejected {
			n.send(p, result)
		}
	}
	if w == nil {
		decided(err)
		return
	}
	n.queued = append(n.queued, &queuedRequest{w, decided})
	n.poll()
}

// poll dispatches the queues and completes decided requests, as the goroutines blocked in Admit do.
func (n *simInstance) poll() {
	for i := range n.controller.queues {
		if head := n.controller.queues[i].head(); head != nil {
			n.controller.admitQueued(head)
		}
	}
	n.queued = slices.DeleteFunc(n.queued, func(q *queuedRequest) bool {
		if q.waiter.done {
			q.decided(q.waiter.err)
		}
		return q.waiter.done
	})
}

func (n *simInstance) send(p *routing.Prompt, result *answer) {
	d, err := n.policy.Engine(n.registry.Snapshot(), p)
	if err != nil {
		n.s.violated("simulated-decision", err.Error())
		return
	}
	sent := n.s.nowMicros
	work := upstream.Work{Prefill: p.Tokens, Priority: p.Class.Priority()}
	if len(d.Candidates) > 0 {
		work = d.Candidates[0].Work(p)
	}
	n.router.Sent(d.Upstream, p)
	ticket := d.Upstream.Begin(work)
	j := &job{arrival: result.arrival, remaining: result.decode}
	j.first = func() {
		ticket.FirstToken()
		if len(d.Candidates) > 0 {
			n.router.Observe(&d.Candidates[0], p, clock.Millis((n.s.nowMicros-sent)/1000))
		}
		result.first = float64(n.s.nowMicros-result.atMicros) / 1000
	}
	j.end = func() {
		ticket.End()
		result.inTime = n.s.nowMicros-result.atMicros <= int64(result.limit)*1000
	}
	n.s.after(int64(result.limit)*1000-(n.s.nowMicros-result.atMicros), func() {
		j.canceled = true
		ticket.End()
	})
	n.s.engines[d.Upstream.ID].submit(j)
}

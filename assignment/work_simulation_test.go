package assignment_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// plainSlots is the number of requests that a plain server runs at a time; as many more wait there, and further ones are rejected.
	plainSlots = 6
	// cellDelay and distantDelay are the times until instances of a server's failure domain and those of others know of a request.
	cellDelay    = 6
	distantDelay = 200
	// wayMillis is the network time of a request to a server in another failure domain.
	wayMillis = 4
)

// plainServer is a server of a plain service.
type plainServer struct {
	fleet.Candidate
	// slow is the factor for its service times.
	slow    float64
	running int
	queue   []func()
	// seen is the number of its requests that the instances of each failure domain know of.
	seen map[poplarwinch.FailureDomain]int
}

// plainInstance places requests on plain servers.
type plainInstance struct {
	domain    poplarwinch.FailureDomain
	estimator *cost.Estimator
	// own and ownSeen are its requests at each server, and those of them that are part of the servers' seen.
	own, ownSeen []int
	turn         int
}

// plainPolicy returns the index of the server for a request.
type plainPolicy func(s *plainSimulation, i *plainInstance, list []fleet.Candidate, r *cost.Request) int

// plainSimulation plays instances that place requests on the servers of a plain service.
type plainSimulation struct {
	random    *rand.Rand
	clock     *clock.Manual
	servers   []*plainServer
	instances []*plainInstance
	domains   []poplarwinch.FailureDomain
	policy    plainPolicy
	// median returns the median service time of a request.
	median   func(r *cost.Request) float64
	events   map[clock.Millis][]func()
	times    []float64
	rejected int
	// chosen counts the requests to each server.
	chosen []int
}

// newPlainSimulation returns a simulation with a server for each factor of service times. Servers and instances are spread over domains.
func newPlainSimulation(seed uint64, policy plainPolicy, instances, domains int, slow ...float64) *plainSimulation {
	s := &plainSimulation{
		random: rand.New(rand.NewPCG(seed, 3)), clock: clock.NewManual(1_000_000), policy: policy, events: map[clock.Millis][]func(){},
		median: func(*cost.Request) float64 { return 30 }, chosen: make([]int, len(slow)),
	}
	name := func(n int) poplarwinch.FailureDomain { return poplarwinch.FailureDomain(fmt.Sprintf("d%d", n%domains)) }
	for n := range domains {
		s.domains = append(s.domains, name(n))
	}
	for n, factor := range slow {
		id := poplarwinch.UpstreamID(fmt.Sprintf("s%d", n))
		c := fleet.Candidate{Server: fleet.Server{ID: id, Domain: name(n), Service: "bookings", Slots: plainSlots}, LoadKnown: true}
		s.servers = append(s.servers, &plainServer{Candidate: c, slow: factor, seen: map[poplarwinch.FailureDomain]int{}})
	}
	for n := range instances {
		s.instances = append(s.instances, &plainInstance{domain: name(n)})
		s.restart(s.instances[n])
	}
	return s
}

// restart makes an instance forget what it has learned. Its requests go on, as if another one had sent them.
func (s *plainSimulation) restart(i *plainInstance) {
	i.estimator = cost.New(s.clock.Clock(), i.domain)
	i.own, i.ownSeen = make([]int, len(s.servers)), make([]int, len(s.servers))
}

func (s *plainSimulation) at(delay float64, f func()) {
	at := s.clock.Now() + max(clock.Millis(math.Round(delay)), 1)
	s.events[at] = append(s.events[at], f)
}

// place sends a request to a server.
func (s *plainSimulation) place(i *plainInstance, r *cost.Request) {
	list := make([]fleet.Candidate, len(s.servers))
	for n, server := range s.servers {
		list[n] = server.Candidate
		list[n].Load.Requests = max(server.seen[i.domain]-i.ownSeen[n], 0) + i.own[n]
	}
	n := s.policy(s, i, list, r)
	server := s.servers[n]
	s.chosen[n]++
	s.count(i, n, 1)
	running := i.estimator.Begin(r, cost.Server{ID: server.ID, Domain: server.Domain})
	startedAt := s.clock.Now()
	way := 0.0
	if server.Domain != i.domain {
		way = wayMillis
	}
	finish := func(completed bool) {
		s.count(i, n, -1)
		if completed {
			running.Complete(startedAt)
			s.times = append(s.times, float64(s.clock.Now()-startedAt))
		} else {
			running.End()
			s.rejected++
		}
	}
	s.at(way/2, func() { s.arrive(server, r, way, finish) })
}

// arrive runs a request at a server, lets it wait there or rejects it.
func (s *plainSimulation) arrive(server *plainServer, r *cost.Request, way float64, finish func(completed bool)) {
	serve := func() {
		millis := s.median(r) * server.slow * math.Exp(0.5*s.random.NormFloat64())
		if s.random.IntN(100) == 0 {
			millis *= 5
		}
		s.at(millis, func() {
			server.running--
			if len(server.queue) > 0 {
				next := server.queue[0]
				server.queue = server.queue[1:]
				server.running++
				next()
			}
			s.at(way/2, func() { finish(true) })
		})
	}
	switch {
	case server.running < plainSlots:
		server.running++
		serve()
	case len(server.queue) < plainSlots:
		server.queue = append(server.queue, serve)
	default:
		s.at(1, func() { finish(false) })
	}
}

// count changes the number of an instance's requests at a server, which others learn later.
func (s *plainSimulation) count(i *plainInstance, n, change int) {
	own, ownSeen := i.own, i.ownSeen
	own[n] += change
	for _, domain := range s.domains {
		delay := cellDelay
		if domain != s.servers[n].Domain {
			delay = distantDelay
		}
		s.at(float64(delay), func() {
			s.servers[n].seen[domain] += change
			if domain == i.domain {
				ownSeen[n] += change
			}
		})
	}
}

// run plays the time with requests of the customers at a rate per second.
func (s *plainSimulation) run(span clock.Millis, perSecond float64, customers int) {
	for end := s.clock.Now() + span; s.clock.Now() < end; {
		for draw := s.random.Float64(); draw < perSecond/1000; draw += 1 - s.random.Float64()*perSecond/1000 {
			customer := poplarwinch.CustomerID(fmt.Sprintf("c%d", s.random.IntN(customers)))
			s.place(s.instances[s.random.IntN(len(s.instances))], &cost.Request{Service: "bookings", Route: "r", Customer: customer, Method: "POST", Size: 300})
		}
		s.clock.Advance(1)
		for _, f := range s.events[s.clock.Now()] {
			f()
		}
		delete(s.events, s.clock.Now())
	}
}

// outcome is the result of a simulation.
type outcome struct{ p50, p95, p99, served float64 }

func (s *plainSimulation) outcome() outcome {
	slices.Sort(s.times)
	at := func(q float64) float64 { return s.times[int(q*float64(len(s.times)-1))] }
	return outcome{at(0.5), at(0.95), at(0.99), float64(len(s.times)) / float64(len(s.times)+s.rejected)}
}

// forget drops the results so far.
func (s *plainSimulation) forget() {
	s.times, s.rejected, s.chosen = nil, 0, make([]int, len(s.servers))
}

func indexOf(list []fleet.Candidate, id poplarwinch.UpstreamID) int {
	return slices.IndexFunc(list, func(c fleet.Candidate) bool { return c.ID == id })
}

// todaysPolicy is the choice without learned cost.
func todaysPolicy(_ *plainSimulation, i *plainInstance, list []fleet.Candidate, _ *cost.Request) int {
	plan, _ := assignment.Server(list, i.domain, 1000, 1000)
	return indexOf(list, plan.First)
}

func fewest(s *plainSimulation, _ *plainInstance, list []fleet.Candidate, _ *cost.Request) int {
	order := s.random.Perm(len(list))
	best := order[0]
	for _, n := range order {
		if list[n].Load.Requests < list[best].Load.Requests {
			best = n
		}
	}
	return best
}

func roundRobin(_ *plainSimulation, i *plainInstance, list []fleet.Candidate, _ *cost.Request) int {
	i.turn++
	return i.turn % len(list)
}

func powerOfTwo(s *plainSimulation, _ *plainInstance, list []fleet.Candidate, _ *cost.Request) int {
	a, b := s.random.IntN(len(list)), s.random.IntN(len(list))
	if list[b].Load.Requests < list[a].Load.Requests {
		return b
	}
	return a
}

func leastWork(s *plainSimulation, i *plainInstance, list []fleet.Candidate, r *cost.Request) int {
	plan, _ := assignment.LeastWork(list, i.domain, 1000, 1000, learnedWork(i.estimator, r, s.random.IntN))
	return indexOf(list, plan.First)
}

// learnedWork connects an estimator to a decision.
func learnedWork(e *cost.Estimator, r *cost.Request, random func(n int) int) *assignment.LearnedWork {
	usual := e.Usual(r.Service).Mean
	return &assignment.LearnedWork{
		Request: e.Predict(r).Mean, Usual: usual, Random: random,
		Remaining: func(c *fleet.Candidate) (float64, int) { return e.Remaining(c.ID, usual) },
		Pace:      func(c *fleet.Candidate) float64 { return e.Pace(c.ID, c.Boot) },
		Extra:     func(c *fleet.Candidate, assumed float64) float64 { return e.Extra(c.Domain, assumed) },
	}
}

var plainPolicies = []struct {
	name   string
	policy plainPolicy
}{
	{"today", todaysPolicy}, {"fewest", fewest}, {"round-robin", roundRobin}, {"power-of-two", powerOfTwo}, {"least-work", leastWork},
}

// comparePolicies plays the same load with each policy, once for each order of the servers, since today's policy prefers the first of
// those with equally many requests. It returns the outcomes by the policy's name.
func comparePolicies(t *testing.T, instances, domains int, slow []float64, play func(s *plainSimulation)) map[string]outcome {
	results := map[string]outcome{}
	for _, p := range plainPolicies {
		all := &plainSimulation{chosen: make([]int, len(slow))}
		for first := range slow {
			s := newPlainSimulation(uint64(first), p.policy, instances, domains, slices.Concat(slow[first:], slow[:first])...)
			play(s)
			all.times = append(all.times, s.times...)
			all.rejected += s.rejected
			for n, count := range s.chosen {
				all.chosen[(n+first)%len(slow)] += count
			}
		}
		o := all.outcome()
		results[p.name] = o
		t.Logf("%-13s p50 %4.0f  p95 %4.0f  p99 %4.0f  served %.4f  requests %v", p.name, o.p50, o.p95, o.p99, o.served, all.chosen)
	}
	return results
}

// Guards against a choice of plain servers that serves fewer requests, or later, than the choices without learned cost: with equal
// servers, a slow server, servers of different speed, costs of 1 : 50, few and many requests, and an instance that restarts.
func TestLeastWorkAgainstOtherPolicies(t *testing.T) {
	equal, slowOne := []float64{1, 1, 1, 1, 1}, []float64{1, 1, 3, 1, 1}
	for _, c := range []struct {
		name               string
		slow               []float64
		instances, domains int
		perSecond          float64
		mixed              bool
		restart            bool
		// better is the largest p95 as a fraction of that of today's policy.
		better float64
	}{
		{name: "equal, busy", slow: equal, instances: 75, domains: 3, perSecond: 400, better: 1.05},
		{name: "equal, nearly full", slow: equal, instances: 75, domains: 3, perSecond: 700, better: 1.05},
		{name: "slow server, typical", slow: slowOne, instances: 75, domains: 1, perSecond: 12, better: 0.9},
		{name: "slow server, three domains", slow: slowOne, instances: 75, domains: 3, perSecond: 12, better: 0.95},
		{name: "two servers of different speed", slow: []float64{1, 2}, instances: 6, domains: 1, perSecond: 40, better: 0.95},
		{name: "costs of 1 : 50", slow: equal, instances: 6, domains: 1, perSecond: 170, mixed: true, better: 1.05},
		{name: "slow server, all instances restart", slow: slowOne, instances: 75, domains: 1, perSecond: 12, restart: true, better: 0.95},
		{name: "equal, all instances restart", slow: equal, instances: 75, domains: 3, perSecond: 12, restart: true, better: 1.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			customers := 40
			results := comparePolicies(t, c.instances, c.domains, c.slow, func(s *plainSimulation) {
				if c.mixed {
					s.median = func(r *cost.Request) float64 {
						if r.Customer < "c2" {
							return 400
						}
						return 8
					}
				}
				span := max(clock.Millis(2400/c.perSecond)*clock.Second, 8*clock.Second)
				s.run(span, c.perSecond, customers)
				s.forget()
				if c.restart {
					for _, i := range s.instances {
						s.restart(i)
					}
				}
				s.run(span, c.perSecond, customers)
			})
			today, learned := results["today"], results["least-work"]
			if learned.p95 > c.better*today.p95 {
				t.Errorf("p95 is %.0f ms, today's is %.0f ms", learned.p95, today.p95)
			}
			if learned.served < today.served-0.002 {
				t.Errorf("%.4f are served, today %.4f", learned.served, today.served)
			}
		})
	}
}

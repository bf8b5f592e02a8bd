package assignment_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// limitWindow is the span in which the requests to a limited server are counted.
	limitWindow = 4 * clock.Second
	// limitFactor and limitSlack bound them: more than limitFactor times what the limit allows, and limitSlack more, break it.
	limitFactor = 1.5
	limitSlack  = 5.0
	// reportDelay is the time until a report arrives, and lostReports the fraction of reports that don't.
	reportDelay = 4
	lostReports = 0.02
	// firstAnswer is the time until a server begins to answer.
	firstAnswer = 120
	// serviceTime is the time that a server takes for a request.
	serviceTime = 1200
)

// limitedInstance is an instance that places requests on servers which name limits.
type limitedInstance struct {
	fleet  *fleet.Fleet
	id     poplarwinch.InstanceID
	alive  bool
	frozen bool
	// cut says that the instance and its peers get no reports of each other.
	cut bool
	due bool
}

// limitedServers plays instances that place requests on servers with limits and exchange reports.
type limitedServers struct {
	t      *testing.T
	random *rand.Rand
	clock  *clock.Manual
	list   []fleet.Server
	limits map[poplarwinch.UpstreamID]fleet.RequestRate
	// answered is called with each answer and returns what the server says besides its limit.
	answered func(i *limitedInstance, server poplarwinch.UpstreamID, sentAt clock.Millis) fleet.Notice
	// sent is called with each request.
	sent      func(i *limitedInstance, server poplarwinch.UpstreamID)
	instances []*limitedInstance
	arrivals  map[poplarwinch.UpstreamID][]clock.Millis
	events    map[clock.Millis][]func()
	refused   int
	served    int
	starts    int
}

func newLimitedServers(t *testing.T, seed uint64, servers, limited, instances int) *limitedServers {
	s := &limitedServers{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), clock: clock.NewManual(1_000_000), limits: map[poplarwinch.UpstreamID]fleet.RequestRate{},
		answered: func(*limitedInstance, poplarwinch.UpstreamID, clock.Millis) fleet.Notice { return fleet.Notice{} },
		sent:     func(*limitedInstance, poplarwinch.UpstreamID) {},
		arrivals: map[poplarwinch.UpstreamID][]clock.Millis{}, events: map[clock.Millis][]func(){},
	}
	for n := range servers {
		id := poplarwinch.UpstreamID(fmt.Sprintf("s%d", n))
		s.list = append(s.list, fleet.Server{ID: id, Address: string(id) + ":80", Domain: "a", Service: "pool", Slots: 16})
		if n < limited {
			s.limits[id] = fleet.RequestRate(0.8 + 2.2*s.random.Float64())
		}
	}
	for range instances {
		s.start()
	}
	return s
}

// start adds an instance that knows nothing.
func (s *limitedServers) start() {
	s.starts++
	i := &limitedInstance{id: poplarwinch.InstanceID(fmt.Sprintf("i%d", s.starts)), alive: true}
	i.fleet = fleet.New(fleet.WithClock(s.clock.Clock()), fleet.WithInstance(i.id), fleet.WithDomain("a"), fleet.WithNotify(func(fleet.Reach) { i.due = true }))
	i.fleet.Apply(s.list)
	s.instances = append(s.instances, i)
}

func (s *limitedServers) at(delay clock.Millis, f func()) {
	at := s.clock.Now() + delay
	s.events[at] = append(s.events[at], f)
}

// place sends a request to a server, or refuses it if it has waited too long.
func (s *limitedServers) place(i *limitedInstance, arrived clock.Millis) {
	if !i.alive {
		return
	}
	now := s.clock.Now()
	prompt := &assignment.Prompt{
		Tokens: 5000, AnswerTokens: 1300, MaxPause: 250, Target: arrived + 300 - now, FullTarget: 300, TimeLeft: arrived + 10_000 - now,
		CallerTimeout: arrived + 2000 - now, FullCallerTimeout: 2000, Domain: "a",
	}
	plan, verdict := assignment.Choose(pool(), i.fleet.Candidates("pool"), prompt)
	switch verdict {
	case assignment.VerdictWait:
		s.at(20, func() { s.place(i, arrived) })
	case assignment.VerdictRun:
		s.send(i, &plan, now)
	default:
		s.refused++
	}
}

func (s *limitedServers) send(i *limitedInstance, plan *assignment.Plan, now clock.Millis) {
	s.served++
	server, _ := i.fleet.Server(plan.First)
	ticket := i.fleet.Begin(fleet.Work{First: plan.First, Prefill: plan.Prefill, MaxPause: 250, Memory: 6300, Due: now + 300})
	s.sent(i, plan.First)
	s.arrivals[plan.First] = append(s.arrivals[plan.First], now)
	s.at(firstAnswer, func() {
		ticket.FirstEvent()
		notice := s.answered(i, plan.First, now)
		notice.Limit = s.limits[plan.First]
		i.fleet.Observe(server, notice, now)
	})
	s.at(serviceTime, ticket.End)
}

// run plays the time with as many requests a second, spread over the instances.
func (s *limitedServers) run(span clock.Millis, perSecond float64) {
	end := s.clock.Now() + span
	for s.clock.Now() < end {
		for s.random.Float64() < perSecond/1000 {
			if i := s.instances[s.random.IntN(len(s.instances))]; i.alive {
				s.place(i, s.clock.Now())
			}
			if s.random.Float64() < 0.5 {
				break
			}
		}
		s.exchange()
		s.clock.Advance(1)
		now := s.clock.Now()
		for _, f := range s.events[now] {
			f()
		}
		delete(s.events, now)
	}
}

// exchange sends the reports that are due, and one of each instance a second.
func (s *limitedServers) exchange() {
	for n, i := range s.instances {
		if !i.alive || i.frozen || !i.due && (s.clock.Now()+clock.Millis(37*n))%1000 != 0 {
			continue
		}
		i.due = false
		report := i.fleet.Report()
		for _, o := range s.instances {
			if o != i && o.alive && !i.cut && !o.cut && s.random.Float64() >= lostReports {
				s.at(reportDelay, func() { o.fleet.Merge(i.id, report) })
			}
		}
	}
}

// check verifies the limits from a time on.
func (s *limitedServers) check(from clock.Millis) {
	for id, rate := range s.limits {
		list := slices.DeleteFunc(slices.Clone(s.arrivals[id]), func(at clock.Millis) bool { return at < from })
		allowed := limitFactor*float64(rate)*float64(limitWindow)/1000 + limitSlack
		for first, begin := range list {
			n := 0
			for n < len(list)-first && list[first+n] < begin+limitWindow {
				n++
			}
			if float64(n) > allowed {
				s.t.Errorf("server %s with a limit of %.1f/s got %d requests in 4 s, %.0f are allowed", id, rate, n, allowed)
				break
			}
		}
	}
}

// Guards against instances that send a server more than the limit that it names, each by itself or all together, also while their number
// changes, and against requests that are refused though other servers could run them.
func TestServerLimitsHoldOverAllInstances(t *testing.T) {
	for _, instances := range []int{1, 6, 30} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d instances, seed %d", instances, seed), func(t *testing.T) {
				s := newLimitedServers(t, seed, 16, 11, instances)
				s.run(3000, 45)
				from := s.clock.Now()
				s.run(8000, 45)
				s.instances[0].alive = false
				s.run(4000, 45)
				for range 1 + instances/3 {
					s.start()
				}
				s.run(8000, 60)
				s.check(from)
				if s.refused > s.served/100 {
					t.Errorf("%d requests refused, %d served", s.refused, s.served)
				}
			})
		}
	}
}

// Guards against limits of which much stays unused while requests wait: all servers are limited, and there is more demand than they take.
func TestServerLimitsAreUsed(t *testing.T) {
	for _, instances := range []int{1, 6, 30} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			s := newLimitedServers(t, 1, 16, 16, instances)
			s.run(6000, 80)
			from := s.clock.Now()
			s.run(8000, 80)
			s.check(from)
			used, allowed := 0, 0.0
			for id, rate := range s.limits {
				allowed += float64(rate) * 8
				for _, at := range s.arrivals[id] {
					if at >= from {
						used++
					}
				}
			}
			if float64(used) < 0.9*allowed {
				t.Errorf("the servers got %d requests, they would take %.0f", used, allowed)
			}
		})
	}
}

package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// coldPerSecond and coldBound are the target rate of cold servers and the most requests that they bear in a second.
	coldPerSecond = 15.0
	coldBound     = 27.5
	// coldPoll is the time between two decisions for a waiting request, and coldPatience the time for which it waits.
	coldPoll     clock.Millis = 50
	coldPatience              = 2 * clock.Second
	// coldAnswerTime is the time that a server takes for a request.
	coldAnswerTime clock.Millis = 300
)

// coldInstance is an instance of the simulated deployment.
type coldInstance struct {
	*fleet.Fleet
	id   poplarwinch.InstanceID
	cell fleet.Cell
	// side is the part of the deployment in which reports arrive.
	side int
	due  bool
	// known has the instances that were heard, with the time of the latest datagram.
	known  map[poplarwinch.InstanceID]clock.Millis
	weight float64
}

// coldPlay plays instances that place requests on cold servers and exchange reports within their cells.
type coldPlay struct {
	random    *rand.Rand
	clock     *clock.Manual
	list      []fleet.Server
	rows      map[poplarwinch.UpstreamID]fleet.ColdRow
	instances []*coldInstance
	arrivals  map[poplarwinch.UpstreamID][]clock.Millis
	events    map[clock.Millis][]func()
	// delay is the time until a report arrives, and twice says that each arrives two times.
	delay  clock.Millis
	twice  bool
	starts int
}

// newColdPlay returns instances of one failure domain with as many servers in each cell.
func newColdPlay(seed uint64, instances, serversPerCell int) *coldPlay {
	s := &coldPlay{
		random: rand.New(rand.NewPCG(seed, 3)), clock: clock.NewManual(1_000_000), delay: 5,
		rows: map[poplarwinch.UpstreamID]fleet.ColdRow{}, arrivals: map[poplarwinch.UpstreamID][]clock.Millis{}, events: map[clock.Millis][]func(){},
	}
	cells := 1
	for instances > 32*cells {
		cells *= 2
	}
	for n := range serversPerCell * cells {
		s.list = append(s.list, fleet.Server{ID: poplarwinch.UpstreamID(fmt.Sprintf("s%d", n)), Domain: "a", Service: "plain", Slots: 100})
	}
	for n := range instances {
		s.instances = append(s.instances, s.start(fleet.Cell{Index: n * cells / instances, Count: cells}))
	}
	for _, i := range s.instances {
		s.meet(i)
	}
	s.run(3000, 0)
	return s
}

// start returns an instance that knows nothing but the servers.
func (s *coldPlay) start(cell fleet.Cell) *coldInstance {
	s.starts++
	i := &coldInstance{id: poplarwinch.InstanceID(fmt.Sprintf("i%d", s.starts)), cell: cell, known: map[poplarwinch.InstanceID]clock.Millis{}, weight: 1}
	s.boot(i)
	return i
}

// boot replaces the process of an instance.
func (s *coldPlay) boot(i *coldInstance) {
	i.Fleet = fleet.New(
		fleet.WithClock(s.clock.Clock()), fleet.WithWallClock(s.clock.Clock()), fleet.WithInstance(i.id), fleet.WithDomain("a"),
		fleet.WithNotify(func(fleet.Reach) { i.due = true }), fleet.WithCellMembers(func() []poplarwinch.InstanceID { return s.members(i) }),
	)
	i.SetCold(map[poplarwinch.ServiceName]route.Cold{"plain": {Start: 3000, PerSecond: coldPerSecond}})
	i.SetCell(i.cell)
	i.ApplyRows(s.list, s.rows)
}

// meet makes an instance know the others of its cell by address, as from the store.
func (s *coldPlay) meet(i *coldInstance) {
	for _, o := range s.instances {
		if o != i && o.cell == i.cell {
			i.known[o.id] = s.clock.Now()
		}
	}
}

func (s *coldPlay) members(i *coldInstance) []poplarwinch.InstanceID {
	list := []poplarwinch.InstanceID{i.id}
	for id, at := range i.known {
		if s.clock.Now()-at < 30_000 {
			list = append(list, id)
		}
	}
	return list
}

// makeCold makes the servers cold by their rows, of which the instances learn within spread.
func (s *coldPlay) makeCold(span, spread clock.Millis) {
	for _, server := range s.list {
		s.rows[server.ID] = fleet.ColdRow{Left: span, ReadAt: s.clock.Now()}
	}
	for _, i := range s.instances {
		s.at(clock.Millis(s.random.Int64N(int64(spread)+1)), func() { i.ApplyRows(s.list, s.rows) })
	}
}

func (s *coldPlay) at(delay clock.Millis, f func()) {
	at := s.clock.Now() + max(delay, 1)
	s.events[at] = append(s.events[at], f)
}

// place sends a request to the server with the fewest requests that takes one now, or looks again later.
func (s *coldPlay) place(i *coldInstance, arrived clock.Millis) {
	var best *fleet.Candidate
	list := i.Candidates("plain")
	for n := range list {
		if c := &list[n]; c.Wait == 0 && (best == nil || c.Load.Requests < best.Load.Requests) {
			best = c
		}
	}
	now := s.clock.Now()
	if best == nil {
		i.WantCold("plain")
		if now-arrived < coldPatience {
			s.at(coldPoll, func() { s.place(i, arrived) })
		}
		return
	}
	ticket := i.Begin(fleet.Work{First: best.ID})
	s.arrivals[best.ID] = append(s.arrivals[best.ID], now)
	s.at(coldAnswerTime, ticket.End)
}

// run plays the time with as many requests a second to all instances, by their weights.
func (s *coldPlay) run(span clock.Millis, perSecond float64) {
	total := 0.0
	for _, i := range s.instances {
		total += i.weight
	}
	for end := s.clock.Now() + span; s.clock.Now() < end; {
		for _, i := range s.instances {
			for expected := perSecond / 1000 * i.weight / total; s.random.Float64() < expected; expected-- {
				s.place(i, s.clock.Now())
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

// freeze suspends all instances for a time. What was due meanwhile happens at its end, all at once.
func (s *coldPlay) freeze(span clock.Millis) {
	var due []func()
	for range span {
		s.clock.Advance(1)
		due = append(due, s.events[s.clock.Now()]...)
		delete(s.events, s.clock.Now())
	}
	for _, f := range due {
		f()
	}
}

// exchange sends the reports that are due, and one of each instance a second.
func (s *coldPlay) exchange() {
	for n, i := range s.instances {
		if !i.due && (s.clock.Now()+clock.Millis(37*n))%1000 != 0 {
			continue
		}
		i.due = false
		report := i.Report()
		for _, o := range s.instances {
			if o == i || o.cell != i.cell || o.side != i.side {
				continue
			}
			receive := func() {
				o.known[i.id] = s.clock.Now()
				o.Merge(i.id, report)
			}
			s.at(s.delay, receive)
			if s.twice {
				s.at(s.delay+1, receive)
			}
		}
	}
}

// most returns the largest number of requests that a server got in any second from a time on, and the mean rate of all of them until now.
func (s *coldPlay) most(from clock.Millis) (most int, mean float64) {
	total := 0
	for _, list := range s.arrivals {
		first := 0
		for n, at := range list {
			if at < from {
				first = n + 1
				continue
			}
			total++
			for list[first] <= at-1000 {
				first++
			}
			most = max(most, n-first+1)
		}
	}
	return most, float64(total) / float64(s.clock.Now()-from) * 1000 / float64(len(s.list))
}

// check verifies the bound, and the mean rate if least is not zero.
func (s *coldPlay) check(t *testing.T, from clock.Millis, least float64) {
	t.Helper()
	most, mean := s.most(from)
	t.Logf("at most %d requests in a second, %.1f on average", most, mean)
	if float64(most) > coldBound {
		t.Errorf("a cold server got %d requests in a second, %.1f are allowed", most, coldBound)
	}
	if mean < least {
		t.Errorf("cold servers got %.1f requests a second, want %.1f", mean, least)
	}
}

// Guards against cold servers that get more requests than they bear from all instances together, whether or not these hear each other, and
// against ones that get fewer than their target rate while requests wait.
func TestColdServersGetTheirRate(t *testing.T) {
	for _, instances := range []int{1, 6, 20, 32, 60, 300} {
		for name, c := range map[string]struct {
			prepare func(s *coldPlay)
			// meanwhile is called half a second after the servers became cold.
			meanwhile func(s *coldPlay)
			least     float64
		}{
			"all in touch": {least: coldPerSecond},
			"told late":    {prepare: func(s *coldPlay) { s.delay = 250 }, least: 0.8 * coldPerSecond},
			"told twice":   {prepare: func(s *coldPlay) { s.twice = true }, least: coldPerSecond},
			"half cut off": {prepare: cutInHalves, least: 0.8 * coldPerSecond},
			"all cut off":  {prepare: cutAll, least: 0.8 * coldPerSecond},
			"cut in halves amid": {
				meanwhile: cutInHalves, least: 0.8 * coldPerSecond,
			},
			"all cut off amid":  {meanwhile: cutAll, least: 0.8 * coldPerSecond},
			"a third restarted": {meanwhile: restartThird},
			"demand at a tenth of the instances": {prepare: func(s *coldPlay) {
				for n, i := range s.instances {
					if n%10 > 0 {
						i.weight = 0
					}
				}
			}, least: 0.7 * coldPerSecond},
		} {
			t.Run(fmt.Sprintf("%d instances, %s", instances, name), func(t *testing.T) {
				s := newColdPlay(uint64(instances), instances, 2)
				if c.prepare != nil {
					c.prepare(s)
				}
				demand := 2.5 * coldPerSecond * float64(len(s.list))
				s.makeCold(8000, 200)
				s.run(200, 0) // what was sent before an instance learns of it doesn't count
				from := s.clock.Now()
				s.run(500, demand)
				if c.meanwhile != nil {
					c.meanwhile(s)
				}
				if instances < 300 {
					s.run(3500, demand)
				}
				s.run(2500, demand)
				s.check(t, from, c.least)
			})
		}
	}
}

func cutInHalves(s *coldPlay) {
	for n, i := range s.instances {
		i.side = n % 2
	}
}

func cutAll(s *coldPlay) {
	for n, i := range s.instances {
		i.side = n
	}
}

func restartThird(s *coldPlay) {
	for n, i := range s.instances {
		if n%3 == 0 {
			clear(i.known)
			s.boot(i)
			s.meet(i)
		}
	}
}

// Guards against a sudden demand while the instances that lent their slots are cut off from those that use them.
func TestLentSlotsComeBack(t *testing.T) {
	for _, instances := range []int{6, 32} {
		for seed := range uint64(5) {
			s := newColdPlay(seed, instances, 2)
			s.makeCold(9000, 200)
			s.run(200, 0)
			from := s.clock.Now()
			for n, i := range s.instances {
				i.weight = max(0, 1-float64(n))
			}
			s.run(3000, 75)
			for _, i := range s.instances {
				i.weight = 1
			}
			cutAll(s)
			s.run(4000, 75)
			s.check(t, from, 0)
		}
	}
}

// Guards against requests that gather while instances are frozen, and against servers that become cold again and again, at any moment
// and under a burst.
func TestServersBecomeColdAtAnyMoment(t *testing.T) {
	for seed := range uint64(6) {
		s := newColdPlay(seed, 20, 4)
		for range 4 {
			s.run(clock.Millis(s.random.Int64N(700)), 200)
			s.makeCold(2500, 0)
			s.run(1, 0)
			from := s.clock.Now()
			s.run(1200, 400)
			s.freeze(clock.Millis(s.random.Int64N(600)))
			s.run(500, 400)
			s.check(t, from, 0)
			s.run(3000, 20)
		}
	}
}

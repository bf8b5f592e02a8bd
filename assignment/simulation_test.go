package assignment_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// job is a prompt in the simulation.
type job struct {
	prompt   *assignment.Prompt
	arrived  float64
	worth    float64
	first    *station
	stations []*station
	// unread is the reading time that is left on each station; parts of groups are read first, the newest before others.
	unread map[*station]float64
	group  bool
	// events are still to be sent.
	events int
	// firstAt is the time of the first event, lastAt that of the last one, worst the longest pause.
	firstAt, lastAt, worst float64
	ended                  bool
	// decided says that there was a decision on the job, so that it waits for the next one.
	decided bool
	// turn spreads the decisions on waiting jobs out.
	turn int
}

// station is an engine in the simulation: it works in passes, in which it reads prompts between the steps of its streams.
type station struct {
	candidate fleet.Candidate
	jobs      []*job // in order of their arrival
	// readUntil is the end of all reading as instances estimate it: as if the engine read all the time.
	readUntil float64
	passEnd   float64
}

// simulation plays arrivals against engines in virtual time. choose decides on each waiting job; the default is Choose.
type simulation struct {
	t        *testing.T
	pool     *route.Pool
	now      float64
	stations []*station
	waiting  []*job
	steps    int
	// known are the engines with their work at the beginning of the step: instances that decide in the same step don't know of
	// each other's decisions.
	known  []fleet.Candidate
	choose func(s *simulation, j *job) (assignment.Plan, assignment.Verdict)
}

const (
	simulationStep = 5.0
	// waitSteps is the number of steps between two decisions on a waiting job.
	waitSteps = 8
)

func newSimulation(t *testing.T, n int) *simulation {
	s := &simulation{t: t, pool: pool()}
	s.choose = func(s *simulation, j *job) (assignment.Plan, assignment.Verdict) {
		return assignment.Choose(s.pool, s.candidates(), j.prompt)
	}
	for _, e := range engines(n) {
		s.stations = append(s.stations, &station{candidate: e})
	}
	return s
}

// candidates returns the engines with their work, as instances know it.
func (s *simulation) candidates() []fleet.Candidate {
	if s.known == nil {
		for _, e := range s.stations {
			c := e.candidate
			c.Load = e.load(s.pool, s.now)
			s.known = append(s.known, c)
		}
	}
	return s.known
}

func (e *station) load(pool *route.Pool, now float64) fleet.Load {
	var l fleet.Load
	due := 0.0
	for _, j := range e.jobs {
		if j.firstAt == 0 || now < j.firstAt {
			l.Readers++
			if !j.group {
				l.Pending += clock.Millis(pool.Read(j.prompt.Tokens))
				l.PendingDue = clock.Millis(j.arrived + float64(j.prompt.FullTarget) - now)
			}
			if d := j.arrived + float64(j.prompt.FullTarget) - now; l.Readers == 1 || d < due {
				due = d
			}
		}
		if j.first == e {
			l.Requests++
			l.Memory += j.prompt.Tokens + j.prompt.Answer
			if j.firstAt > 0 && j.firstAt <= now {
				l.Decoding++
			}
			l.MaxPause = max(l.MaxPause, j.prompt.MaxPause)
			if l.MinPause == 0 || j.prompt.MaxPause < l.MinPause {
				l.MinPause = j.prompt.MaxPause
			}
		}
	}
	l.Due = clock.Millis(due)
	if l.Readers > 0 {
		l.Read = clock.Millis(max(e.readUntil-now, 10))
	}
	return l
}

// start puts a job on the engines of its plan.
func (s *simulation) start(j *job, p *assignment.Plan) {
	j.unread = map[*station]float64{}
	read := s.pool.Read(j.prompt.Tokens) / float64(len(p.Helpers)+1)
	j.group = len(p.Helpers) > 0
	for _, e := range s.stations {
		if e.candidate.ID == p.First {
			j.first = e
		}
		if e.candidate.ID == p.First || slices.Contains(p.Helpers, e.candidate.ID) {
			j.unread[e] = read
			e.readUntil = max(e.readUntil, s.now) + read
			j.stations = append(j.stations, e)
			e.jobs = append(e.jobs, j)
		}
	}
}

// pass does one scheduling pass of an engine and sets its end.
func (s *simulation) pass(e *station) {
	var streams []*job
	var context poplarwinch.Tokens
	for _, j := range e.jobs {
		if j.first == e && j.firstAt > 0 {
			streams = append(streams, j)
			context += j.prompt.Tokens
		}
	}
	room, length := float64(s.pool.ChunkTokens)/s.pool.ReadRate, 0.0
	if len(streams) > 0 {
		room *= float64(s.pool.Stride)
		length = s.pool.Pass(len(streams), context)
	}
	length += e.read(room)
	e.passEnd = s.now + max(length, simulationStep)
	for _, j := range streams {
		j.event(e.passEnd)
	}
	for _, j := range slices.Clone(e.jobs) {
		if j.firstAt == 0 && j.first != nil && j.read() {
			j.event(e.passEnd + s.pool.Pass(1, j.prompt.Tokens))
		}
	}
}

// read spends reading time: parts of groups first, the newest before others, then single prompts in order.
func (e *station) read(room float64) float64 {
	order := slices.Clone(e.jobs)
	slices.SortStableFunc(order, func(a, b *job) int {
		switch {
		case a.group && b.group:
			return int(b.arrived - a.arrived)
		case a.group:
			return -1
		case b.group:
			return 1
		}
		return 0
	})
	spent := 0.0
	for _, j := range order {
		share := min(j.unread[e], room-spent)
		j.unread[e] -= share
		spent += share
	}
	return spent
}

// read reports whether all engines have read their parts.
func (j *job) read() bool {
	for _, left := range j.unread {
		if left > 0.001 {
			return false
		}
	}
	return true
}

func (j *job) event(at float64) {
	if j.firstAt == 0 {
		j.firstAt = at
	} else {
		j.worst = max(j.worst, at-j.lastAt)
	}
	j.lastAt = at
	j.events--
	if j.events > 0 {
		return
	}
	j.ended = true
	for _, e := range j.stations {
		e.jobs = slices.DeleteFunc(e.jobs, func(other *job) bool { return other == j })
	}
}

// earned returns the worth of the job to its caller.
func (j *job) earned() float64 {
	const lateShare = 0.25
	switch {
	case !j.ended:
		return 0
	case j.firstAt-j.arrived > float64(j.prompt.FullTarget) || j.worst > float64(j.prompt.MaxPause):
		return lateShare * j.worth
	}
	return j.worth
}

// play runs the jobs in order of their arrival for a time and returns the share of their worth that callers got.
func (s *simulation) play(jobs []*job, span float64) float64 {
	next := 0
	for ; s.now < span; s.now += simulationStep {
		for next < len(jobs) && jobs[next].arrived <= s.now {
			s.waiting = append(s.waiting, jobs[next])
			next++
		}
		s.decide()
		for _, e := range s.stations {
			if len(e.jobs) > 0 && e.passEnd <= s.now {
				s.pass(e)
			}
		}
	}
	return earnedShare(jobs)
}

func (s *simulation) decide() {
	var left []*job
	s.steps++
	s.known = nil
	for _, j := range s.waiting {
		if j.decided && (s.steps+j.turn)%waitSteps != 0 {
			left = append(left, j)
			continue
		}
		if !j.decided {
			j.decided, j.turn = true, s.steps+len(left)
		}
		age := clock.Millis(s.now - j.arrived)
		p := *j.prompt
		p.Target, p.Patience, p.Left = p.FullTarget-age, p.FullPatience-age, p.Left-age
		waiting := *j
		waiting.prompt = &p
		plan, verdict := s.choose(s, &waiting)
		switch {
		case verdict == assignment.VerdictRun:
			s.start(j, &plan)
		case verdict == assignment.VerdictWait && p.Left > 0:
			left = append(left, j)
		}
	}
	s.waiting = left
}

// flips are arrivals that change between many long and many short prompts every ten seconds, as on the users' days.
func flips(seed uint64) []*job {
	r := rand.New(rand.NewPCG(seed, 1))
	var jobs []*job
	add := func(perSecond float64, fresh func() (*assignment.Prompt, float64, int), from, until float64) {
		for at := from + r.ExpFloat64()*1000/perSecond; at < until; at += r.ExpFloat64() * 1000 / perSecond {
			p, worth, events := fresh()
			p.Domain = poplarwinch.FailureDomain(string(rune('a' + r.IntN(3))))
			jobs = append(jobs, &job{prompt: p, arrived: at, worth: worth, events: events})
		}
	}
	size := func(mean, spread float64) poplarwinch.Tokens {
		return poplarwinch.Tokens(mean * max(0.1, 1+spread*r.NormFloat64()))
	}
	short := func() (*assignment.Prompt, float64, int) {
		p := shortPrompt()
		p.Tokens = size(5000, 0.6)
		return p, 1.3, 38
	}
	long := func() (*assignment.Prompt, float64, int) {
		p := longPrompt()
		p.Tokens = min(size(182_000, 0.5), 390_000)
		return p, 24, 19
	}
	for phase := range 4 {
		from, until := float64(phase)*10_000, float64(phase+1)*10_000
		if phase%2 == 0 {
			add(8, short, from, until)
			add(1.7, long, from, until)
		} else {
			add(60, short, from, until)
			add(0.05, long, from, until)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.arrived - b.arrived) })
	return jobs
}

// The load of the heaviest days: the mix flips between long and short prompts every ten seconds. Guards against policies that
// let long prompts pause short streams or leave half of the engines idle: callers must lose half as much as with the usual
// ways to spread load, at most.
func TestFlippingMix(t *testing.T) {
	turn := 0
	baselines := map[string]func(list []fleet.Candidate) fleet.Candidate{
		"round robin": func(list []fleet.Candidate) fleet.Candidate {
			turn++
			return list[turn%len(list)]
		},
		"fewest requests": func(list []fleet.Candidate) fleet.Candidate {
			return slices.MinFunc(list, func(a, b fleet.Candidate) int { return a.Load.Requests - b.Load.Requests })
		},
		"fewest tokens": func(list []fleet.Candidate) fleet.Candidate {
			return slices.MinFunc(list, func(a, b fleet.Candidate) int { return int(a.Load.Memory - b.Load.Memory) })
		},
		"better of two": func(list []fleet.Candidate) fleet.Candidate {
			a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
			if b.Load.Memory < a.Load.Memory {
				return b
			}
			return a
		},
	}
	const span = 55_000
	for seed := range uint64(3) {
		s := newSimulation(t, 14)
		got := s.play(flips(seed), span)
		t.Logf("seed %d: policy %.3f", seed, got)
		if got < 0.8 {
			t.Errorf("seed %d: callers got %.3f of the worth, want 0.8", seed, got)
		}
		for name, baseline := range baselines {
			b := newSimulation(t, 14)
			b.choose = func(s *simulation, _ *job) (assignment.Plan, assignment.Verdict) {
				return assignment.Plan{First: baseline(s.candidates()).ID}, assignment.VerdictRun
			}
			other := b.play(flips(seed), span)
			t.Logf("seed %d: %s %.3f", seed, name, other)
			if lost, otherLost := 1-got, 1-other; lost > otherLost/2 {
				t.Errorf("seed %d: callers lost %.3f, with %s %.3f; want half of that at most", seed, lost, name, otherLost)
			}
		}
	}
}

// The crest of a surge: a third more short prompts than the engines have slots for. Guards against a policy that makes all of
// them late instead of most of them served in time.
func TestCrest(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	var jobs []*job
	for at := 0.0; at < 20_000; at += r.ExpFloat64() * 1000 / 110 {
		jobs = append(jobs, &job{prompt: shortPrompt(), arrived: at, worth: 1.3, events: 38})
	}
	s := newSimulation(t, 14)
	s.play(jobs, 30_000)
	share := inTime(jobs)
	t.Logf("%.3f of the prompts in time", share)
	// The engines have slots for three quarters of the prompts; nine tenths of these should come in time.
	if want := 0.9 * 0.75; share < want {
		t.Errorf("%.3f of the prompts came in time, want %.3f", share, want)
	}
}

// inTime returns the share of the jobs that met the target of their prompts without a pause that is too long.
func inTime(jobs []*job) float64 {
	n := 0
	for _, j := range jobs {
		if j.ended && j.firstAt-j.arrived <= float64(j.prompt.FullTarget) && j.worst <= float64(j.prompt.MaxPause) {
			n++
		}
	}
	return float64(n) / float64(len(jobs))
}

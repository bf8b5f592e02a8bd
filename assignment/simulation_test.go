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

// job is a prompt in the simulation, with its results.
type job struct {
	prompt           *assignment.Prompt
	arrivedMillis    float64
	worth            float64
	first            *simulatedEngine
	simulatedEngines []*simulatedEngine
	// remainingMillis is the prefill time that is left on each engine. Parts of groups are prefilled before other
	// prompts, the newest first.
	remainingMillis map[*simulatedEngine]float64
	group           bool
	// events is the number of events still to be sent.
	events int
	// firstEventMillis is the time of the first event, lastEventMillis that of the latest one, and longestPauseMillis the
	// longest time between two events.
	firstEventMillis, lastEventMillis, longestPauseMillis float64
	completed                                             bool
	// decided says that the first decision on the job was made; later ones follow every waitSteps steps.
	decided bool
	// phase distributes the decisions on waiting jobs over the steps.
	phase int
	orderedJob
}

// simulatedEngine works in scheduling passes, in which it prefills prompts between the decoding steps of its streams.
type simulatedEngine struct {
	candidate fleet.Candidate
	jobs      []*job // in order of their arrival
	// prefillUntilMillis is the end of all prefill as instances estimate it, as if the engine did nothing else.
	prefillUntilMillis float64
	passEndMillis      float64
}

// simulation runs arriving jobs on engines in virtual time. choose decides on each waiting job; the default is Choose.
type simulation struct {
	t                *testing.T
	pool             *route.Pool
	nowMillis        float64
	simulatedEngines []*simulatedEngine
	waiting          []*job
	steps            int
	// snapshot has the engines with their load at the beginning of the step. Instances that decide in the same step
	// don't see each other's decisions.
	snapshot []fleet.Candidate
	choose   func(s *simulation, j *job) (assignment.Plan, assignment.Verdict)
	// ordered replaces the decisions of each job for itself by those of an instance in the order of its queue; it may be nil.
	ordered *orderedDecisions
}

const (
	// stepMillis is the step of the virtual time in milliseconds.
	stepMillis = 5.0
	// waitSteps is the number of steps between two decisions on a waiting job.
	waitSteps = 8
)

func newSimulation(t *testing.T, n int) *simulation {
	s := &simulation{t: t, pool: pool()}
	s.choose = func(s *simulation, j *job) (assignment.Plan, assignment.Verdict) {
		return assignment.Choose(s.pool, s.candidates(), j.prompt)
	}
	for _, e := range engines(n) {
		s.simulatedEngines = append(s.simulatedEngines, &simulatedEngine{candidate: e})
	}
	return s
}

// candidates returns the engines with their load as instances know it.
func (s *simulation) candidates() []fleet.Candidate {
	if s.snapshot == nil {
		for _, e := range s.simulatedEngines {
			c := e.candidate
			c.Load = e.load(s.pool, s.nowMillis)
			s.snapshot = append(s.snapshot, c)
		}
	}
	return s.snapshot
}

func (e *simulatedEngine) load(pool *route.Pool, now float64) fleet.Load {
	var l fleet.Load
	due := 0.0
	for _, j := range e.jobs {
		if j.firstEventMillis == 0 || now < j.firstEventMillis {
			l.Prefilling++
			if !j.group {
				l.PendingPrefill += clock.Millis(pool.Prefill(j.prompt.Tokens))
				l.PendingDue = clock.Millis(j.arrivedMillis + float64(j.prompt.FullTarget) - now)
			}
			if d := j.arrivedMillis + float64(j.prompt.FullTarget) - now; l.Prefilling == 1 || d < due {
				due = d
			}
		}
		if j.first == e {
			l.Requests++
			l.Memory += j.prompt.Tokens + j.prompt.AnswerTokens
			if j.firstEventMillis > 0 && j.firstEventMillis <= now {
				l.Decoding++
			}
			l.MaxPause = max(l.MaxPause, j.prompt.MaxPause)
			if l.MinPause == 0 || j.prompt.MaxPause < l.MinPause {
				l.MinPause = j.prompt.MaxPause
			}
		}
	}
	l.Due = clock.Millis(due)
	if l.Prefilling > 0 {
		l.Prefill = clock.Millis(max(e.prefillUntilMillis-now, 10))
	}
	return l
}

// start assigns a job to the engines of its plan.
func (s *simulation) start(j *job, p *assignment.Plan) {
	j.remainingMillis = map[*simulatedEngine]float64{}
	partMillis := s.pool.Prefill(j.prompt.Tokens) / float64(len(p.Helpers)+1)
	j.group = len(p.Helpers) > 0
	for _, e := range s.simulatedEngines {
		if e.candidate.ID == p.First {
			j.first = e
		}
		if e.candidate.ID == p.First || slices.Contains(p.Helpers, e.candidate.ID) {
			j.remainingMillis[e] = partMillis
			e.prefillUntilMillis = max(e.prefillUntilMillis, s.nowMillis) + partMillis
			j.simulatedEngines = append(j.simulatedEngines, e)
			e.jobs = append(e.jobs, j)
		}
	}
}

// pass runs one scheduling pass of an engine and sets its end.
func (s *simulation) pass(e *simulatedEngine) {
	var streams []*job
	var context poplarwinch.Tokens
	for _, j := range e.jobs {
		if j.first == e && j.firstEventMillis > 0 {
			streams = append(streams, j)
			context += j.prompt.Tokens
		}
	}
	prefillLimitMillis, passMillis := float64(s.pool.ChunkTokens)/s.pool.PrefillRate, 0.0
	if len(streams) > 0 {
		prefillLimitMillis *= float64(s.pool.Stride)
		passMillis = s.pool.Pass(len(streams), context)
	}
	passMillis += e.prefilled(prefillLimitMillis)
	e.passEndMillis = s.nowMillis + max(passMillis, stepMillis)
	for _, j := range streams {
		j.recordEvent(e.passEndMillis)
	}
	for _, j := range slices.Clone(e.jobs) {
		if j.firstEventMillis == 0 && j.first != nil && j.prefilled() {
			j.recordEvent(e.passEndMillis + s.pool.Pass(1, j.prompt.Tokens))
		}
	}
}

// prefilled spends up to limitMillis on prefill and returns the time spent: parts of groups first, the newest
// before others, then single prompts in order of arrival.
func (e *simulatedEngine) prefilled(limitMillis float64) float64 {
	order := slices.Clone(e.jobs)
	slices.SortStableFunc(order, func(a, b *job) int {
		switch {
		case a.group && b.group:
			return int(b.arrivedMillis - a.arrivedMillis)
		case a.group:
			return -1
		case b.group:
			return 1
		}
		return 0
	})
	spentMillis := 0.0
	for _, j := range order {
		partMillis := min(j.remainingMillis[e], limitMillis-spentMillis)
		j.remainingMillis[e] -= partMillis
		spentMillis += partMillis
	}
	return spentMillis
}

// prefilled reports whether all engines have prefilled their parts.
func (j *job) prefilled() bool {
	for _, left := range j.remainingMillis {
		if left > 0.001 {
			return false
		}
	}
	return true
}

func (j *job) recordEvent(at float64) {
	if j.firstEventMillis == 0 {
		j.firstEventMillis = at
	} else {
		j.longestPauseMillis = max(j.longestPauseMillis, at-j.lastEventMillis)
	}
	j.lastEventMillis = at
	j.events--
	if j.events > 0 {
		return
	}
	j.completed = true
	for _, e := range j.simulatedEngines {
		e.jobs = slices.DeleteFunc(e.jobs, func(other *job) bool { return other == j })
	}
}

// earnedWorth returns the worth of the job to its caller: a quarter if it missed the target or paused too long.
func (j *job) earnedWorth() float64 {
	const lateWorthFraction = 0.25
	switch {
	case !j.completed:
		return 0
	case j.firstEventMillis-j.arrivedMillis > float64(j.prompt.FullTarget) || j.longestPauseMillis > float64(j.prompt.MaxPause):
		return lateWorthFraction * j.worth
	}
	return j.worth
}

// play runs the jobs in order of arrival until spanMillis and returns the fraction of their worth that callers got.
func (s *simulation) play(jobs []*job, spanMillis float64) float64 {
	next := 0
	for ; s.nowMillis < spanMillis; s.nowMillis += stepMillis {
		for next < len(jobs) && jobs[next].arrivedMillis <= s.nowMillis {
			s.waiting = append(s.waiting, jobs[next])
			next++
		}
		if s.ordered != nil {
			s.ordered.decide(s)
		} else {
			s.decide()
		}
		for _, e := range s.simulatedEngines {
			if len(e.jobs) > 0 && e.passEndMillis <= s.nowMillis {
				s.pass(e)
			}
		}
	}
	return earnedFraction(jobs)
}

func (s *simulation) decide() {
	var stillWaiting []*job
	s.steps++
	s.snapshot = nil
	for _, j := range s.waiting {
		if j.decided && (s.steps+j.phase)%waitSteps != 0 {
			stillWaiting = append(stillWaiting, j)
			continue
		}
		if !j.decided {
			j.decided, j.phase = true, s.steps+len(stillWaiting)
		}
		age := clock.Millis(s.nowMillis - j.arrivedMillis)
		p := *j.prompt
		p.Target, p.CallerTimeout, p.TimeLeft = p.FullTarget-age, p.FullCallerTimeout-age, p.TimeLeft-age
		waiting := *j
		waiting.prompt = &p
		plan, verdict := s.choose(s, &waiting)
		switch {
		case verdict == assignment.VerdictRun:
			s.start(j, &plan)
		case verdict == assignment.VerdictWait && p.TimeLeft > 0:
			stillWaiting = append(stillWaiting, j)
		}
	}
	s.waiting = stillWaiting
}

// alternatingMix returns arrivals that alternate between many long and many short prompts every ten seconds, as on
// recorded days.
func alternatingMix(seed uint64) []*job {
	r := rand.New(rand.NewPCG(seed, 1))
	var jobs []*job
	add := func(perSecond float64, fresh func() (*assignment.Prompt, float64, int), from, until float64) {
		for at := from + r.ExpFloat64()*1000/perSecond; at < until; at += r.ExpFloat64() * 1000 / perSecond {
			p, worth, events := fresh()
			p.Domain = poplarwinch.FailureDomain(string(rune('a' + r.IntN(3))))
			jobs = append(jobs, &job{prompt: p, arrivedMillis: at, worth: worth, events: events})
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
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.arrivedMillis - b.arrivedMillis) })
	return jobs
}

// The load of the heaviest recorded days: the mix alternates between long and short prompts every ten seconds. Guards
// against policies that let long prompts pause short streams or leave half of the engines idle: callers may lose at most
// half of the worth that they lose with common load balancing policies.
func TestAlternatingMix(t *testing.T) {
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
	const spanMillis = 55_000
	for seed := range uint64(3) {
		s := newSimulation(t, 14)
		got := s.play(alternatingMix(seed), spanMillis)
		t.Logf("seed %d: policy %.3f", seed, got)
		if got < 0.8 {
			t.Errorf("seed %d: callers got %.3f of the worth, want 0.8", seed, got)
		}
		for name, baseline := range baselines {
			b := newSimulation(t, 14)
			b.choose = func(s *simulation, _ *job) (assignment.Plan, assignment.Verdict) {
				return assignment.Plan{First: baseline(s.candidates()).ID}, assignment.VerdictRun
			}
			other := b.play(alternatingMix(seed), spanMillis)
			t.Logf("seed %d: %s %.3f", seed, name, other)
			if lost, otherLost := 1-got, 1-other; lost > otherLost/2 {
				t.Errorf("seed %d: callers lost %.3f, with %s %.3f; want half of that at most", seed, lost, name, otherLost)
			}
		}
	}
}

// The peak of a surge, with a third more short prompts than the engines have slots for. Guards against a policy that
// makes all of them late instead of serving most of them in time.
func TestPeak(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	var jobs []*job
	for at := 0.0; at < 20_000; at += r.ExpFloat64() * 1000 / 110 {
		jobs = append(jobs, &job{prompt: shortPrompt(), arrivedMillis: at, worth: 1.3, events: 38})
	}
	s := newSimulation(t, 14)
	s.play(jobs, 30_000)
	inTime := inTimeFraction(jobs)
	t.Logf("%.3f of the prompts in time", inTime)
	// The engines have slots for three quarters of the prompts; nine tenths of these should come in time.
	if want := 0.9 * 0.75; inTime < want {
		t.Errorf("%.3f of the prompts came in time, want %.3f", inTime, want)
	}
}

// inTimeFraction returns the fraction of the jobs that met their target without a pause over the limit.
func inTimeFraction(jobs []*job) float64 {
	n := 0
	for _, j := range jobs {
		if j.completed && j.firstEventMillis-j.arrivedMillis <= float64(j.prompt.FullTarget) && j.longestPauseMillis <= float64(j.prompt.MaxPause) {
			n++
		}
	}
	return float64(n) / float64(len(jobs))
}

package assignment_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/queue"
)

// orderedJob is what the order of waiting jobs needs to know of a job.
type orderedJob struct {
	kind, customer string
	class          int
	item           *queue.Item
	// seenMillis is the arrival at the instance, later than that of the job if its caller came back.
	seenMillis float64
	returned   bool
	// heldMillis is the time for which the job was held without having been started.
	heldMillis float64
}

// orderedDecisions are the decisions of one instance in the order of its queue.
type orderedDecisions struct {
	queue *queue.Queue
	jobs  map[*queue.Item]*job
	// repeats says that callers come back at once after a rejection.
	repeats bool
}

// passSteps is the number of steps between two passes over the waiting jobs.
const passSteps = 2

// decide adds new jobs to the queue and makes a pass over it.
func (o *orderedDecisions) decide(s *simulation) {
	s.steps++
	now := clock.Millis(s.nowMillis)
	for _, j := range s.waiting {
		if j.seenMillis == 0 {
			j.seenMillis = s.nowMillis
		}
		o.add(s, j)
	}
	s.waiting = nil
	if s.steps%passSteps != 0 {
		return
	}
	p := o.queue.Pass(now)
	for i := p.Next(); i != nil; i = p.Next() {
		j := o.jobs[i]
		s.snapshot = nil // the instance knows of its own decisions
		plan, verdict := s.chooseAged(j)
		switch verdict {
		case assignment.VerdictRun:
			o.queue.Started(i, now)
			o.remove(s, j)
			s.start(j, &plan)
		case assignment.VerdictWait:
			p.Failed(i)
		default:
			o.remove(s, j)
			if o.repeats && !j.returned && s.nowMillis-j.arrivedMillis < float64(j.prompt.FullCallerTimeout) {
				j.returned, j.seenMillis = true, s.nowMillis
				s.waiting = append(s.waiting, j)
			}
		}
	}
}

// chooseAged makes a decision on a job as the instance sees it.
func (s *simulation) chooseAged(j *job) (assignment.Plan, assignment.Verdict) {
	p, age := *j.prompt, clock.Millis(s.nowMillis-j.seenMillis)
	p.Target, p.CallerTimeout, p.TimeLeft = p.FullTarget-age, p.FullCallerTimeout-age, p.TimeLeft-clock.Millis(s.nowMillis-j.arrivedMillis)
	waiting := *j
	waiting.prompt = &p
	return s.choose(s, &waiting)
}

func (o *orderedDecisions) add(s *simulation, j *job) {
	seen, cost := clock.Millis(j.seenMillis), s.pool.Prefill(j.prompt.Tokens)
	j.item = &queue.Item{
		Service: "pool", Customer: poplarwinch.CustomerID(j.customer), Class: j.class, Route: j.kind, Cost: cost, Lead: clock.Millis(cost),
		Arrived: seen, Target: seen + j.prompt.FullTarget, GivesUp: seen + j.prompt.FullCallerTimeout, Returned: j.returned,
	}
	if cost > 150 {
		j.item.Lead /= 16
	}
	o.queue.Add(j.item)
	o.jobs[j.item] = j
}

func (o *orderedDecisions) remove(s *simulation, j *job) {
	j.heldMillis = max(j.heldMillis, s.nowMillis-j.seenMillis)
	o.queue.Remove(j.item)
	delete(o.jobs, j.item)
}

// orders are the compared orders of waiting jobs; the last one is that of package queue. The classes of the fair one have the weights 8, 4,
// 2 and 1.
func orders() []struct {
	name  string
	queue func() *queue.Queue
} {
	by := func(compare func(a, b *queue.Item) int) func() *queue.Queue {
		return func() *queue.Queue { return queue.New(queue.WithCompare(compare)) }
	}
	arrival := func(a, b *queue.Item) int { return cmp.Compare(a.Arrived, b.Arrived) }
	return []struct {
		name  string
		queue func() *queue.Queue
	}{
		{"order of arrival", by(arrival)},
		{"strict priority", by(func(a, b *queue.Item) int { return cmp.Or(cmp.Compare(a.Class, b.Class), arrival(a, b)) })},
		{"weighted fair", by(func(a, b *queue.Item) int {
			weighted := func(i *queue.Item) float64 { return float64(i.Arrived) + i.Cost*float64(int(1)<<i.Class) }
			return cmp.Compare(weighted(a), weighted(b))
		})},
		{"earliest deadline", by(func(a, b *queue.Item) int { return cmp.Compare(a.Target, b.Target) })},
		{"least slack", by(func(a, b *queue.Item) int { return cmp.Compare(a.Target-a.Lead, b.Target-b.Lead) })},
		{"queue", func() *queue.Queue { return queue.New() }},
	}
}

// drawnLoad is a deployment under load with its priorities.
type drawnLoad struct {
	engines int
	jobs    []*job
	// lostAt is the time at which a third of the engines takes no more requests; zero if none is lost.
	lostAt  float64
	repeats bool
}

// drawLoad draws a load: the kinds differ in size, priority and rate.
func drawLoad(scenario string, seed uint64) drawnLoad {
	r := rand.New(rand.NewPCG(seed, 9))
	l := drawnLoad{engines: 6 + r.IntN(6), repeats: scenario == "repeats"}
	perEngine := float64(l.engines)
	if scenario == "lost engines" {
		l.lostAt = 6000
	}
	add := func(kind, customer string, class int, perSecond float64, active func(at float64) bool) {
		for at := r.ExpFloat64() * 1000 / perSecond; at < 16_000; at += r.ExpFloat64() * 1000 / perSecond {
			p, worth, events := shortPrompt(), 1.3, 38
			p.Tokens = poplarwinch.Tokens(5000 * max(0.1, 1+0.5*r.NormFloat64()))
			if kind == "long" {
				p, worth, events = longPrompt(), 24, 19
				p.Tokens = min(poplarwinch.Tokens(182_000*max(0.1, 1+0.5*r.NormFloat64())), 390_000)
			}
			p.Domain = "a"
			if active(at) {
				l.jobs = append(l.jobs, &job{prompt: p, arrivedMillis: at, worth: worth, events: events, orderedJob: orderedJob{kind: kind, customer: customer, class: class}})
			}
		}
	}
	always := func(float64) bool { return true }
	half := func(n int) func(float64) bool { return func(at float64) bool { return int(at/4000)%2 == n } }
	load := 0.8 + 0.6*r.Float64() // of about nine short prompts a second and engine
	longClass := r.IntN(2)
	switch scenario {
	case "flip":
		add("urgent", "a", 0, 4*load*perEngine, half(0))
		add("other", "b", 1, 12*load*perEngine, half(0))
		add("long", "c", longClass, 0.16*load*perEngine, half(1))
		add("urgent", "a", 0, 1, half(1))
	case "one customer":
		add("urgent", "a", 0, load*perEngine, always)
		add("other", "large", 1, 14*load*perEngine, always)
		for n := range 6 {
			add("other", fmt.Sprint("small-", n), 1, 0.2*perEngine, always)
		}
	default:
		add("urgent", "a", 0, 4*load*perEngine, always)
		add("other", "b", 1, 6*load*perEngine, always)
		add("long", "c", longClass, 0.02*load*perEngine, always)
	}
	slices.SortFunc(l.jobs, func(a, b *job) int { return cmp.Compare(a.arrivedMillis, b.arrivedMillis) })
	return l
}

// orderResult is what the callers of a load get.
type orderResult struct {
	worth, served, heldMillis map[string]float64
	// smallest is the least share served of a customer of the kind "other".
	smallest float64
}

func playOrder(t *testing.T, scenario string, seed uint64, q *queue.Queue) orderResult {
	l := drawLoad(scenario, seed)
	s := newSimulation(t, l.engines)
	for n, e := range s.simulatedEngines {
		e.candidate.Domain, e.candidate.LoadKnown, e.candidate.Rank = "a", true, n
	}
	s.ordered = &orderedDecisions{queue: q, jobs: map[*queue.Item]*job{}, repeats: l.repeats}
	plain := s.choose
	s.choose = func(s *simulation, j *job) (assignment.Plan, assignment.Verdict) {
		if l.lostAt > 0 && s.nowMillis >= l.lostAt {
			s.candidates()
			for n := range s.snapshot {
				s.snapshot[n].Avoid = n%3 == 0
			}
		}
		return plain(s, j)
	}
	s.play(l.jobs, 24_000)
	result := orderResult{worth: map[string]float64{}, served: map[string]float64{}, heldMillis: map[string]float64{}, smallest: 1}
	groups := map[string][]*job{}
	for _, j := range l.jobs {
		groups[j.kind] = append(groups[j.kind], j)
		groups["all"] = append(groups["all"], j)
		if j.kind == "other" {
			groups["customer "+j.customer] = append(groups["customer "+j.customer], j)
		}
	}
	for name, list := range groups {
		served := 0.0
		for _, j := range list {
			if j.completed && j.firstEventMillis-j.arrivedMillis <= float64(j.prompt.FullCallerTimeout) {
				served++
			}
			result.heldMillis[name] = max(result.heldMillis[name], j.heldMillis)
		}
		result.served[name], result.worth[name] = served/float64(len(list)), earnedFraction(list)
		if len(name) > 8 && name[:8] == "customer" {
			result.smallest = min(result.smallest, result.served[name])
		}
	}
	return result
}

// Floods of short and of long prompts in turn, a flood of one customer, a lost third of the engines, and callers that repeat at once, on
// drawn deployments. Guards against urgent kinds that get less than others, a small customer that is pushed out by a large one, and
// requests that are held until their callers give up.
func TestOrdersUnderLoad(t *testing.T) {
	const seeds = 4
	for _, scenario := range []string{"flip", "one customer", "lost engines", "repeats"} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			totals := map[string]map[string]float64{}
			for _, o := range orders() {
				sum := map[string]float64{}
				for seed := range uint64(seeds) {
					r := playOrder(t, scenario, seed, o.queue())
					for _, kind := range []string{"urgent", "other", "long", "all"} {
						sum["worth "+kind] += r.worth[kind] / seeds
						sum["served "+kind] += r.served[kind] / seeds
						sum["held "+kind] = max(sum["held "+kind], r.heldMillis[kind])
					}
					sum["smallest"] += r.smallest / seeds
				}
				totals[o.name] = sum
				t.Logf("%-18s worth %.3f (urgent %.3f, other %.3f, long %.3f) served %.3f, %.3f, %.3f; least customer %.3f; held %.0f, %.0f, %.0f ms",
					o.name, sum["worth all"], sum["worth urgent"], sum["worth other"], sum["worth long"], sum["served urgent"], sum["served other"],
					sum["served long"], sum["smallest"], sum["held urgent"], sum["held other"], sum["held long"])
			}
			got, before, strict := totals["queue"], totals["order of arrival"], totals["strict priority"]
			if got["served urgent"] < got["served other"]-0.05 || got["worth urgent"] < got["worth other"]-0.15 {
				t.Errorf("urgent requests: served %.3f, worth %.3f; others %.3f and %.3f", got["served urgent"], got["worth urgent"], got["served other"], got["worth other"])
			}
			if got["worth urgent"] < before["worth urgent"]+0.05 || got["worth all"] < min(before["worth all"], strict["worth all"])-0.02 {
				t.Errorf("worth %.3f, urgent %.3f; in order of arrival %.3f and %.3f", got["worth all"], got["worth urgent"], before["worth all"], before["worth urgent"])
			}
			if scenario == "one customer" && got["smallest"] < max(before["smallest"], strict["smallest"])+0.05 {
				t.Errorf("least customer %.3f; in order of arrival %.3f, strict %.3f", got["smallest"], before["smallest"], strict["smallest"])
			}
			if got["held urgent"] > 1100 || got["held other"] > 1100 || got["held long"] > 8000 {
				t.Errorf("held for %.0f, %.0f and %.0f ms, want half of the patience", got["held urgent"], got["held other"], got["held long"])
			}
		})
	}
}

// Shows for how long prompts that no engine can take are held before they are rejected, against an eighth of the target. Guards against
// more than half of the caller's patience.
func TestHeldUntilRejected(t *testing.T) {
	for name, c := range map[string]struct {
		prompt           *assignment.Prompt
		requests, memory int
	}{
		"short, no slots":  {shortPrompt(), 16, 100_000},
		"short, no memory": {shortPrompt(), 8, 405_000},
		"long, no slots":   {longPrompt(), 16, 100_000},
		"long, no memory":  {longPrompt(), 8, 405_000},
		"huge, no memory":  {hugePrompt(), 8, 405_000},
	} {
		list := engines(14)
		for n := range list {
			list[n].LoadKnown = true
			list[n].Load.Requests, list[n].Load.Decoding = c.requests, c.requests
			list[n].Load.Memory, list[n].Load.MinPause, list[n].Load.MaxPause = poplarwinch.Tokens(c.memory), 250, 250
		}
		age := clock.Millis(0)
		for ; age < c.prompt.FullCallerTimeout; age++ {
			p := *c.prompt
			p.Target, p.CallerTimeout, p.TimeLeft = p.FullTarget-age, p.FullCallerTimeout-age, p.TimeLeft-age
			if _, verdict := assignment.Choose(pool(), list, &p); verdict != assignment.VerdictWait {
				break
			}
		}
		t.Logf("%-16s held for %5d ms, an eighth of the target is %d ms", name, age, c.prompt.FullTarget/8)
		if age > c.prompt.FullCallerTimeout/2+1 {
			t.Errorf("%s: held for %d ms of %d", name, age, c.prompt.FullCallerTimeout)
		}
	}
}

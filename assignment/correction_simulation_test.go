package assignment_test

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/route"
)

// correctedChoice makes the jobs of a simulation be decided with a formula that may be wrong, and with its learned correction.
type correctedChoice struct {
	formula   *route.Pool
	estimator *cost.Estimator
	clock     *clock.Manual
	jobs      map[float64]*job
	// started has the decision of each running job whose first event has not been learned.
	started map[*job]startedJob
}

type startedJob struct {
	at, predicted clock.Millis
}

func newCorrectedChoice(formula *route.Pool, jobs []*job) *correctedChoice {
	m := clock.NewManual(1_000_000)
	c := &correctedChoice{formula: formula, estimator: cost.New(m.Clock(), "a"), clock: m, jobs: map[float64]*job{}, started: map[*job]startedJob{}}
	for _, j := range jobs {
		c.jobs[j.arrivedMillis] = j
	}
	return c
}

func (c *correctedChoice) request(j *job) *cost.Request {
	return &cost.Request{Service: "pool", Route: j.prompt.MaxPause.Duration().String(), Size: int64(j.prompt.Tokens)}
}

func (c *correctedChoice) choose(s *simulation, j *job) (assignment.Plan, assignment.Verdict) {
	now := clock.Millis(s.nowMillis)
	c.clock.Advance(1_000_000 + now - c.clock.Now())
	for o, d := range c.started {
		if o.firstEventMillis > 0 && o.firstEventMillis <= s.nowMillis {
			first := clock.Millis(o.firstEventMillis) - d.at
			c.estimator.LearnEngine(c.request(o), cost.EngineOutcome{FirstEvent: first, PredictedFirstEvent: d.predicted, Total: first})
			delete(c.started, o)
		}
	}
	factor := c.estimator.PredictEngine(c.request(j)).FirstEventFactor
	j.prompt.FirstEventFactor = factor
	plan, verdict := assignment.Choose(c.formula, s.candidates(), j.prompt)
	if verdict == assignment.VerdictRun {
		c.started[c.jobs[j.arrivedMillis]] = startedJob{at: now, predicted: clock.Millis(float64(plan.FirstEvent) / factor)}
	}
	return plan, verdict
}

// Guards against a learned correction of the first event by which callers lose more than without it, whether the formula is right or
// the engines are slower or faster than it says.
func TestFirstEventCorrection(t *testing.T) {
	for _, c := range []struct {
		name string
		// rate is the actual prefill rate of engines as a fraction of the formula's.
		rate float64
	}{{"formula right", 1}, {"engines slower", 0.6}, {"engines faster", 1.5}} {
		on, off := 0.0, 0.0
		for seed := range uint64(4) {
			play := func(corrected bool) float64 {
				s, jobs := newSimulation(t, 14), alternatingMix(seed)
				formula := *s.pool
				s.pool.PrefillRate *= c.rate
				choice := newCorrectedChoice(&formula, jobs)
				s.choose = choice.choose
				if !corrected {
					s.choose = func(s *simulation, j *job) (assignment.Plan, assignment.Verdict) {
						return assignment.Choose(&formula, s.candidates(), j.prompt)
					}
				}
				return s.play(jobs, 55_000) / 4
			}
			on += play(true)
			off += play(false)
		}
		t.Logf("%s: callers got %.3f of the worth with correction, %.3f without", c.name, on, off)
		if on < off-0.005 {
			t.Errorf("%s: callers got %.3f of the worth with correction, %.3f without", c.name, on, off)
		}
	}
}

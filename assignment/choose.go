package assignment

import (
	"math"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// pauseShare is the part of the limit between events that planned work may use up.
	pauseShare = 0.9
	// averageContext is the assumed context of a decoding request, in tokens.
	averageContext = 6000
	// singleMillis is the longest reading of a prompt that is left to one engine.
	singleMillis = 150.0
	// packedShare is the share of an engine's slots above which it is filled further only if all others are, too.
	packedShare = 0.8
	// packingMillis is the delay that a short prompt accepts for each request that an engine has more than another.
	packingMillis = 5.0
	// openingMillis is the delay that a short prompt accepts before it takes an engine without short prompts.
	openingMillis = 130.0
	// shortShare is the part of the time to the target that a prediction for a short prompt may use.
	shortShare = 0.5
	// giveUpShare is the part of the caller's patience that is left when a prompt that still waits is turned away, so that
	// its caller can come back in time.
	giveUpShare = 0.5
	// fullShare is the share of an engine's slots above which it gets no prompt that can still wait, and quietShare the one
	// above which it gets none that is late anyway.
	fullShare  = 0.95
	quietShare = 0.7
	// crowdedMillis is the penalty of an engine above packedShare.
	crowdedMillis = 200.0
	// distantMillis is the penalty of an engine in another failure domain.
	distantMillis = 15.0
	// dueMargin is kept between the planned end of a prompt's reading and the time at which it is due, in ms.
	dueMargin = 20.0
	// rankMillis orders the engines of a failure domain that are equal otherwise.
	rankMillis = 1.0
)

// Choose returns the plan for a prompt, if it is to run now.
func Choose(pool *route.Pool, engines []fleet.Candidate, p *Prompt) (Plan, Verdict) {
	engines = sound(engines)
	if len(engines) == 0 {
		return Plan{}, VerdictWait
	}
	c := &choice{pool: pool, engines: engines, prompt: p, read: pool.Read(p.Tokens)}
	if c.hopeless() {
		return Plan{}, VerdictReject
	}
	switch near := c.near(); {
	case len(near) < cellEngines:
		return c.decideLate()
	case c.read >= wideMillis:
		c.engines = c.known()
		return c.decideLate()
	default:
		return c.nearFirst(near)
	}
}

// decide chooses among the engines.
func (c *choice) decide() (Plan, Verdict) {
	plan, ok := Plan{}, false
	if c.short() {
		plan, ok = c.single()
	} else {
		plan, ok = c.group()
	}
	switch {
	case !ok && c.givesUp():
		return Plan{}, VerdictYield
	case !ok:
		return Plan{}, VerdictWait
	case plan.FirstEvent > c.prompt.Left:
		return Plan{}, VerdictReject
	}
	return plan, VerdictRun
}

// hopeless reports whether all engines together can't read or hold the prompt in the time that is left.
func (c *choice) hopeless() bool {
	k := min(len(c.engines), maxHelpers+1)
	memory := poplarwinch.Tokens(k) * c.pool.MemoryTokens
	return c.read/float64(k) > float64(c.prompt.Left) || c.prompt.Tokens+c.prompt.Answer > memory
}

// choice is one decision.
type choice struct {
	pool    *route.Pool
	engines []fleet.Candidate
	prompt  *Prompt
	// read is the time in ms in which one engine reads the prompt.
	read float64
	// spill says that the own failure domain has no room, so that others help out as far as they have much.
	spill bool
	// paused is the number of requests on an engine whose limits between events don't count, if all of them are tighter than
	// the prompt's.
	paused int
}

// sound returns the engines that did not fail recently, or all if none is left.
func sound(engines []fleet.Candidate) []fleet.Candidate {
	list := make([]fleet.Candidate, 0, len(engines))
	for _, e := range engines {
		if !e.Avoid {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return engines
	}
	return list
}

// pass returns the time of a scheduling pass of the engine with one more request.
func (c *choice) pass(e *fleet.Candidate) float64 {
	n := e.Load.Requests + 1
	return c.pool.Pass(n, poplarwinch.Tokens(n*averageContext))
}

// short reports whether one engine reads the prompt alone, between the events of others.
func (c *choice) short() bool { return c.read <= singleMillis }

// room returns the reading time that the engine can take on without pausing its streams for too long.
func (c *choice) room(e *fleet.Candidate) float64 {
	if e.Load.MinPause == 0 || e.Load.Requests <= c.paused && pausedFactor*e.Load.MaxPause < c.prompt.MaxPause {
		return math.Inf(1)
	}
	return pauseShare*float64(e.Load.MinPause) - c.pass(e) - queued(e)
}

// queued returns the reading time that comes before or together with that of a further prompt.
func queued(e *fleet.Candidate) float64 { return float64(max(e.Load.Read, e.Load.Pending)) }

// dueRoom returns the reading time that the engine can take on before a time by which it should have read something else. A
// prompt that joins a pass delays the first events of all prompts in it.
func (c *choice) dueRoom(e *fleet.Candidate, due clock.Millis) float64 {
	return float64(due) - dueMargin - c.pass(e) - queued(e)
}

// fits reports whether the engine has a slot and memory for the prompt. Some slots are left to requests of which other
// instances decide at the same time.
func (c *choice) fits(e *fleet.Candidate) bool {
	limit := float64(c.pool.Slots)
	switch c.stage() {
	case stageUrgent:
	case stageMissed:
		limit *= quietShare
	default:
		limit *= fullShare
	}
	if c.spill && !c.home(e) {
		limit = min(limit, spillShare*float64(c.pool.Slots))
	}
	return float64(e.Load.Requests+1) <= limit && e.Load.Memory+c.prompt.Tokens+c.prompt.Answer <= c.pool.MemoryTokens
}

// firstEvent predicts the time to the first event of a prompt that the engine reads alone.
func (c *choice) firstEvent(e *fleet.Candidate, read float64) float64 {
	pass := c.pass(e)
	wait := 0.0
	if e.Load.Decoding > 0 {
		wait = pass / 2
	}
	return wait + queued(e) + read + pass
}

// single chooses one engine for a short prompt. Engines that already serve short prompts come first, so that the others
// stay free for long ones.
func (c *choice) single() (Plan, bool) {
	stage := c.stage()
	best, bestCost := -1, math.Inf(1)
	for i := range c.engines {
		e := &c.engines[i]
		first := c.firstEvent(e, c.read)
		if !c.fits(e) || !c.suits(e, stage, first) {
			continue
		}
		if cost := first + c.penalty(e); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Plan{}, false
	}
	return c.plan(&c.engines[best], stage), true
}

// suits reports whether a prompt of a stage may run on the engine, given its predicted time to the first event. Parts of long
// prompts are read first, and what the engine reads too late already need not be spared.
func (c *choice) suits(e *fleet.Candidate, stage stage, first float64) bool {
	if stage == stageUrgent {
		return true
	}
	if c.room(e) < c.read || e.Load.PendingDue > 0 && c.dueRoom(e, e.Load.PendingDue) < c.read {
		return false
	}
	switch stage {
	case stageMissed:
		return first <= float64(c.prompt.Patience)
	case stagePressed:
		return first <= float64(c.prompt.Target)
	}
	return first <= shortShare*float64(c.prompt.Target)
}

// penalty returns what speaks against an engine besides its time to the first event, in ms.
func (c *choice) penalty(e *fleet.Candidate) float64 {
	cost := float64(e.Rank) * rankMillis
	if c.packed(e) {
		cost -= packingMillis * float64(e.Load.Requests)
	} else {
		cost += openingMillis
	}
	if float64(e.Load.Requests+1) > packedShare*float64(c.pool.Slots) {
		cost += crowdedMillis
	}
	if !c.home(e) {
		cost += distantMillis
	}
	if c.room(e) < c.read {
		cost += crowdedMillis
	}
	return cost
}

// packed reports whether the engine has streams that accept no longer pauses than the prompt's, so that one more does not
// restrict what else it can read.
func (c *choice) packed(e *fleet.Candidate) bool {
	return e.Load.MinPause != 0 && e.Load.MinPause <= c.prompt.MaxPause
}

func (c *choice) plan(e *fleet.Candidate, stage stage) Plan {
	reason := ReasonPacked
	switch {
	case stage.late():
		reason = ReasonLate
	case !c.packed(e):
		reason = ReasonOpened
	}
	return Plan{
		First: e.ID, Read: ceil(c.read), FirstEvent: ceil(c.firstEvent(e, c.read)), Reason: reason,
	}
}

func ceil(ms float64) clock.Millis { return clock.Millis(math.Ceil(ms)) }

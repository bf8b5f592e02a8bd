package assignment

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// maxHelpers is the largest number of engines that help the first one.
	maxHelpers = 16
	// minPartMillis is the smallest part of a prompt that is worth another engine.
	minPartMillis = 40.0
	// helperMillis is the gain in the time to the first event that another engine must bring.
	helperMillis = 12.0
	// tightMillis is the gain that an engine with short prompts must bring besides.
	tightMillis = 15.0
	// usablePercent leaves part of an engine's free memory to requests that arrive meanwhile.
	usablePercent = 80
	// targetShare is the part of the time to the target that a plan may use before the prompt waits instead, and missedShare
	// the part of the caller's patience that it may use when the target is missed.
	targetShare = 0.9
	missedShare = 0.5
	// maxPaused is the number of short prompts on an engine that a long one may pause too long. A long prompt that comes in time
	// is worth many of them.
	maxPaused = 2
	// pausedFactor is the factor by which the long prompt's limit between events must exceed those of the prompts that it pauses.
	pausedFactor = 2
	// largestShare is the part of the time to the target from which the reading by a full group makes a prompt one of the largest.
	largestShare = 0.25
)

// group chooses the engines that read a long prompt together, so that its first event comes earliest. Engines with a few
// short prompts left are taken only if the prompt would be late without them.
func (c *choice) group() (Plan, bool) {
	order := slices.Clone(c.engines)
	slices.SortStableFunc(order, func(a, b fleet.Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Load.Read, b.Load.Read),
			cmp.Compare(a.Load.Requests, b.Load.Requests),
			c.homeFirst(&a, &b),
			cmp.Compare(b.Rank, a.Rank),
		)
	})
	c.paused = 0
	plan, ok := c.earliest(order)
	if !ok && c.read >= wideMillis && !c.stage().late() {
		c.paused = maxPaused
		plan, ok = c.earliest(order)
	}
	return plan, ok
}

// earliest returns the plan with the earliest first event, if that comes early enough.
func (c *choice) earliest(order []fleet.Candidate) (Plan, bool) {
	best, found := Plan{}, false
	bestCost := 0.0
	for k := 1; k <= min(len(order), maxHelpers+1); k++ {
		part := c.read / float64(k)
		if k > 1 && part < minPartMillis {
			break
		}
		plan, finish, ok := c.groupOf(order, k, part)
		if cost := finish + helperMillis*float64(k) + tightMillis*float64(c.tight(order, &plan)); ok && (!found || cost < bestCost) {
			best, bestCost, found = plan, cost, true
		}
	}
	stage := c.stage()
	if !found || float64(best.FirstEvent) > c.longest(stage) {
		return Plan{}, false
	}
	if stage.late() {
		best.Reason = ReasonLate
	}
	return best, true
}

// givesUp reports whether a prompt without a plan had better come back later: half of its caller's patience is over, or it is
// a long one that finds nearly all slots in use or has missed its target. Only the largest, which can't come in time anyway, wait
// beyond the target.
func (c *choice) givesUp() bool {
	if float64(c.prompt.Patience) < giveUpShare*float64(c.prompt.FullPatience) {
		return true
	}
	return !c.short() && (c.saturated() || c.stage() == stageMissed && !c.largest())
}

// largest reports whether even a full group needs a large part of the time to the target for the prompt.
func (c *choice) largest() bool {
	return c.read/(maxHelpers+1) > largestShare*float64(c.prompt.FullTarget)
}

// homeFirst orders engines of the prompt's failure domain before others.
func (c *choice) homeFirst(a, b *fleet.Candidate) int {
	switch x, y := c.home(a), c.home(b); {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// tight returns the number of engines of the plan that serve short prompts.
func (c *choice) tight(order []fleet.Candidate, plan *Plan) int {
	n := 0
	for i := range order {
		e := &order[i]
		if e.Load.MinPause != 0 && e.Load.MinPause < c.prompt.MaxPause && (e.ID == plan.First || slices.Contains(plan.Helpers, e.ID)) {
			n++
		}
	}
	return n
}

// longest returns the predicted time to the first event above which a prompt of a stage waits instead, in ms.
func (c *choice) longest(stage stage) float64 {
	switch stage {
	case stageUrgent:
		return float64(c.prompt.Left)
	case stageMissed:
		return missedShare * float64(c.prompt.Patience)
	case stagePressed:
		return float64(c.prompt.Target)
	}
	return targetShare * float64(c.prompt.Target)
}

// groupOf returns the plan with k engines and its time to the first event.
func (c *choice) groupOf(order []fleet.Candidate, k int, part float64) (Plan, float64, bool) {
	var chosen []*fleet.Candidate
	for i := range order {
		if e := &order[i]; c.partRoom(e) >= part && e.Load.Readers < c.pool.Slots {
			if chosen = append(chosen, e); len(chosen) == k {
				break
			}
		}
	}
	if len(chosen) < k {
		return Plan{}, 0, false
	}
	first := c.first(chosen)
	shared := first < 0
	if shared {
		if first = c.mostFree(chosen); c.free(chosen) < c.prompt.Tokens+c.prompt.Answer {
			return Plan{}, 0, false
		}
	}
	finish := 0.0
	for _, e := range chosen {
		finish = max(finish, c.partEnd(e, part, k))
	}
	plan := Plan{First: chosen[first].ID, Read: ceil(part), FirstEvent: ceil(finish), Reason: ReasonGroup, Shared: shared}
	if k == 1 {
		plan.Reason = ReasonSingle
	}
	plan.Helpers = make([]poplarwinch.UpstreamID, 0, k-1)
	for i, e := range chosen {
		if i != first {
			plan.Helpers = append(plan.Helpers, e.ID)
		}
	}
	return plan, finish, true
}

// partRoom returns the reading time that the engine can take on as a part of a group. It reads the newest part before
// everything else, so what it reads already must not become late.
func (c *choice) partRoom(e *fleet.Candidate) float64 {
	if e.Load.Readers == 0 {
		return c.room(e)
	}
	return min(c.room(e), c.dueRoom(e, e.Load.Due))
}

// partEnd predicts the time to the first event as far as one engine of a group of k matters. A part of a group is read
// before what the engine has to read already.
func (c *choice) partEnd(e *fleet.Candidate, part float64, k int) float64 {
	end := c.firstEvent(e, part)
	if k > 1 {
		end -= queued(e)
	}
	return end
}

// first returns the index of the engine that answers, or -1 if none can.
func (c *choice) first(chosen []*fleet.Candidate) int {
	best := -1
	for i, e := range chosen {
		if c.fits(e) && c.steady(e) && (best < 0 || c.answersBefore(e, chosen[best])) {
			best = i
		}
	}
	return best
}

// Free returns the memory of an engine that a prompt may count on.
func Free(pool *route.Pool, e *fleet.Candidate) poplarwinch.Tokens {
	free := pool.MemoryTokens - e.Load.Memory
	if e.Load.Requests >= pool.Slots {
		return 0
	}
	return max(free*usablePercent/100, 0)
}

// free returns the memory of all chosen engines together.
func (c *choice) free(chosen []*fleet.Candidate) poplarwinch.Tokens {
	var sum poplarwinch.Tokens
	for _, e := range chosen {
		if c.steady(e) {
			sum += Free(c.pool, e)
		}
	}
	return sum
}

// mostFree returns the index of the engine with the most free memory.
func (c *choice) mostFree(chosen []*fleet.Candidate) int {
	best := 0
	for i, e := range chosen {
		if Free(c.pool, e) > Free(c.pool, chosen[best]) {
			best = i
		}
	}
	return best
}

// steady reports whether the engine's other reading leaves the prompt's own stream without long pauses.
func (c *choice) steady(e *fleet.Candidate) bool {
	if c.prompt.MaxPause == 0 {
		return true
	}
	return queued(e)+c.pass(e) <= pauseShare*float64(c.prompt.MaxPause)
}

// answersBefore reports whether a is the better one to answer: an engine whose streams are no more patient than the
// prompt's, so that no further engine is restricted; then a near one; then the one with the most free memory.
func (c *choice) answersBefore(a, b *fleet.Candidate) bool {
	if x, y := c.packed(a), c.packed(b); x != y {
		return x
	}
	if order := c.homeFirst(a, b); order != 0 {
		return order < 0
	}
	return a.Load.Memory < b.Load.Memory
}

package assignment

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// maxHelpers is the largest number of helpers that an engine accepts. An engine with a reservation of its own is the first of
	// its helpers.
	maxHelpers = 16
	// minPartMillis is the shortest prefill for which a prompt is split further.
	minPartMillis = 40.0
	// helperCostMillis is the reduction of the time to the first event that one more engine must bring.
	helperCostMillis = 12.0
	// tighterCostMillis is the further reduction that an engine must bring whose streams have a tighter pause limit.
	tighterCostMillis = 15.0
	// usableFreeMemoryPercent is the percentage of an engine's free memory that a plan counts on; the rest is left to
	// requests that arrive in the meantime.
	usableFreeMemoryPercent = 80
	// longTargetFraction is the fraction of the time left to the target that the predicted first event of a long prompt
	// may use at stageEarly.
	longTargetFraction = 0.9
	// missedCallerTimeoutFraction is the fraction of the time left until the caller's timeout that it may use at stageMissed.
	missedCallerTimeoutFraction = 0.5
	// maxPausableRequests is the largest number of short prompts on an engine that a long one may pause beyond their
	// limits. A long prompt that meets its target is worth many of them.
	maxPausableRequests = 2
	// pausedLimitMillis is the longest pause that a long prompt may cause for short streams beyond their limits. Their
	// callers wait longer, but are continued on another engine before they give up.
	pausedLimitMillis = 1000.0
	// minPauseLimitRatio is the ratio by which the pause limit of a long prompt must exceed those of the prompts that it
	// pauses.
	minPauseLimitRatio = 2
	// lateTargetFraction is the fraction of FullTarget that the prefill of a long prompt which misses its target may take. A late prompt on
	// few engines would occupy them for longer than many prompts need that can still meet their targets.
	lateTargetFraction = 0.5
	// latePrefillFactor is the multiple of the prefill time on the largest group that it may take in any case. Prompts that are too long for
	// their target would never run otherwise.
	latePrefillFactor = 1.25
	// largestTargetFraction is the fraction of FullTarget above which the prefill by a full group makes a prompt one of
	// the largest.
	largestTargetFraction = 0.25
)

// planGroup chooses the engines that prefill a long prompt together, for the earliest first event. Engines with a few
// short prompts are added only if the prompt would otherwise miss its target.
func (c *choice) planGroup() (Plan, bool) {
	order := slices.Clone(c.engines)
	slices.SortStableFunc(order, func(a, b fleet.Candidate) int {
		return cmp.Or(
			compareCold(&a, &b),
			cmp.Compare(a.Load.Prefill, b.Load.Prefill),
			cmp.Compare(a.Load.Requests, b.Load.Requests),
			c.compareLocality(&a, &b),
			cmp.Compare(b.Rank, a.Rank),
		)
	})
	c.pausableRequests = 0
	plan, ok := c.earliestPlan(order)
	if !ok && c.prefillMillis >= crossDomainPrefillMillis && !c.stage().targetMissed() {
		c.pausableRequests = maxPausableRequests
		plan, ok = c.earliestPlan(order)
	}
	return plan, ok
}

// earliestPlan returns the plan with the lowest cost, if its first event comes early enough for the prompt's stage.
func (c *choice) earliestPlan(order []fleet.Candidate) (Plan, bool) {
	best, found := Plan{}, false
	bestCostMillis := 0.0
	for k := 1; k <= min(len(order), maxHelpers+1); k++ {
		partMillis := c.prefillMillis / float64(k)
		if k > 1 && partMillis < minPartMillis {
			break
		}
		plan, firstEventMillis, ok := c.groupPlan(order, k, partMillis)
		if costMillis := firstEventMillis + helperCostMillis*float64(k) + tighterCostMillis*float64(c.countTighter(order, &plan)); ok && (!found || costMillis < bestCostMillis) {
			best, bestCostMillis, found = plan, costMillis, true
		}
	}
	stage := c.stage()
	if !found || float64(best.FirstEvent) > c.maxFirstEventMillis(stage) {
		return Plan{}, false
	}
	if stage.targetMissed() {
		best.Reason = ReasonLate
	}
	return best, true
}

// shouldYieldWithoutPlan reports whether a prompt without a plan is rejected: half of its caller's timeout has passed,
// or it is a long prompt and the engines are saturated or its target is missed. The largest prompts, which can't
// meet their targets anyway, wait beyond the target.
func (c *choice) shouldYieldWithoutPlan() bool {
	if float64(c.prompt.CallerTimeout) < minCallerTimeoutFraction*float64(c.prompt.FullCallerTimeout) {
		return true
	}
	return !c.isShort() && (c.saturated() || c.stage() == stageMissed && !c.isLargest())
}

// isLargest reports whether even a full group needs a large part of the time to the target for the prefill.
func (c *choice) isLargest() bool {
	return c.prefillMillis/(maxHelpers+1) > largestTargetFraction*float64(c.prompt.FullTarget)
}

// compareLocality orders engines of the prompt's failure domain before others.
func (c *choice) compareLocality(a, b *fleet.Candidate) int {
	switch x, y := c.isLocal(a), c.isLocal(b); {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// countTighter returns the number of engines of the plan that have streams with a tighter pause limit than the prompt's.
func (c *choice) countTighter(order []fleet.Candidate, plan *Plan) int {
	n := 0
	for i := range order {
		e := &order[i]
		if e.Load.MinPause != 0 && e.Load.MinPause < c.prompt.MaxPause && (e.ID == plan.First || slices.Contains(plan.Helpers, e.ID)) {
			n++
		}
	}
	return n
}

// maxFirstEventMillis returns the predicted time to the first event above which a prompt at the stage waits instead.
func (c *choice) maxFirstEventMillis(stage stage) float64 {
	switch stage {
	case stageUrgent:
		return min(float64(c.prompt.TimeLeft), c.lateLimitMillis())
	case stageMissed:
		return min(missedCallerTimeoutFraction*float64(c.prompt.CallerTimeout), c.lateLimitMillis())
	case stagePressed:
		return float64(c.prompt.Target)
	}
	return longTargetFraction * float64(c.prompt.Target)
}

// lateLimitMillis returns the longest predicted time to the first event of a long prompt that misses its target.
func (c *choice) lateLimitMillis() float64 {
	shortestMillis := c.prefillMillis/float64(min(len(c.engines), maxHelpers+1)) + c.singlePassMillis()
	return max(lateTargetFraction*float64(c.prompt.FullTarget), latePrefillFactor*shortestMillis)
}

// groupPlan returns the plan with the first k suitable engines in order, and its time to the first event.
func (c *choice) groupPlan(order []fleet.Candidate, k int, partMillis float64) (Plan, float64, bool) {
	var chosen []*fleet.Candidate
	for i := range order {
		if e := &order[i]; c.partBudgetMillis(e) >= partMillis && e.Load.Prefilling < c.pool.Slots {
			if chosen = append(chosen, e); len(chosen) == k {
				break
			}
		}
	}
	if len(chosen) < k {
		return Plan{}, 0, false
	}
	answeringEngine := c.answeringEngine(chosen)
	shared := answeringEngine < 0
	if shared {
		if answeringEngine = c.mostFree(chosen); k > maxHelpers || c.totalFree(chosen) < c.prompt.Tokens+c.prompt.AnswerTokens {
			return Plan{}, 0, false
		}
	}
	firstEventMillis := 0.0
	for _, e := range chosen {
		firstEventMillis = max(firstEventMillis, c.partFirstEventMillis(e, partMillis, k))
	}
	plan := Plan{First: chosen[answeringEngine].ID, Prefill: ceilMillis(partMillis), FirstEvent: ceilMillis(firstEventMillis), Reason: ReasonGroup, Shared: shared}
	if k == 1 {
		plan.Reason = ReasonSingle
	}
	plan.Helpers = make([]poplarwinch.UpstreamID, 0, k-1)
	for i, e := range chosen {
		if i != answeringEngine {
			plan.Helpers = append(plan.Helpers, e.ID)
		}
	}
	return plan, firstEventMillis, true
}

// partBudgetMillis returns the prefill time that the engine can take on as a part of a group. The newest part is
// prefilled before everything else and must not make earlier prompts miss their due times.
func (c *choice) partBudgetMillis(e *fleet.Candidate) float64 {
	if e.Load.Prefilling == 0 {
		return c.prefillBudgetMillis(e)
	}
	return min(c.prefillBudgetMillis(e), c.dueBudgetMillis(e, e.Load.Due))
}

// partFirstEventMillis predicts the time to the first event as bounded by one engine of a group of k. Parts of a group
// are prefilled before the prompts that are queued on the engine.
func (c *choice) partFirstEventMillis(e *fleet.Candidate, partMillis float64, k int) float64 {
	endMillis := c.firstEventMillis(e, partMillis)
	if k > 1 {
		endMillis -= queuedMillis(e)
	}
	return endMillis
}

// answeringEngine returns the index of the engine that is to decode the answer, or -1 if none can.
func (c *choice) answeringEngine(chosen []*fleet.Candidate) int {
	best := -1
	for i, e := range chosen {
		if c.fits(e) && c.meetsPauseLimit(e) && (best < 0 || c.preferredAnswering(e, chosen[best])) {
			best = i
		}
	}
	return best
}

// FreeTokens returns the KV cache of an engine, in tokens, that a prompt may count on.
func FreeTokens(pool *route.Pool, e *fleet.Candidate) poplarwinch.Tokens {
	free := pool.MemoryTokens - e.Load.Memory
	if e.Load.Requests >= pool.Slots {
		return 0
	}
	return max(free*usableFreeMemoryPercent/100, 0)
}

// totalFree returns the sum of FreeTokens over the chosen engines that keep the prompt's pause limit.
func (c *choice) totalFree(chosen []*fleet.Candidate) poplarwinch.Tokens {
	var sum poplarwinch.Tokens
	for _, e := range chosen {
		if c.meetsPauseLimit(e) {
			sum += FreeTokens(c.pool, e)
		}
	}
	return sum
}

// mostFree returns the index of the engine with the most free memory.
func (c *choice) mostFree(chosen []*fleet.Candidate) int {
	best := 0
	for i, e := range chosen {
		if FreeTokens(c.pool, e) > FreeTokens(c.pool, chosen[best]) {
			best = i
		}
	}
	return best
}

// meetsPauseLimit reports whether the prefill that is queued on the engine keeps the pauses of the prompt's stream
// within its limit.
func (c *choice) meetsPauseLimit(e *fleet.Candidate) bool {
	if c.prompt.MaxPause == 0 {
		return true
	}
	return queuedMillis(e)+c.passMillis(e) <= pauseLimitFraction*float64(c.prompt.MaxPause)
}

// preferredAnswering reports whether a is the better engine to decode the answer. Packed engines come first, because
// there the prompt does not lower the prefill budget; then local ones; then the one with less memory in use.
func (c *choice) preferredAnswering(a, b *fleet.Candidate) bool {
	if x, y := c.packed(a), c.packed(b); x != y {
		return x
	}
	if order := c.compareLocality(a, b); order != 0 {
		return order < 0
	}
	return a.Load.Memory < b.Load.Memory
}

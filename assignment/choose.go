package assignment

import (
	"math"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// pauseLimitFraction is the fraction of an engine's tightest pause limit that planned prefill may use.
	pauseLimitFraction = 0.9
	// assumedContextTokens is the assumed context of a decoding request, in tokens.
	assumedContextTokens = 6000
	// maxSinglePrefillMillis is the longest prefill that is not split over several engines.
	maxSinglePrefillMillis = 150.0
	// busySlotsFraction is the fraction of an engine's slots above which busyPenaltyMillis applies.
	busySlotsFraction = 0.8
	// packingBonusMillis is subtracted from the cost of a packed engine for each request on it.
	packingBonusMillis = 5.0
	// unpackedPenaltyMillis is the penalty of an engine that is not packed, which keeps it free for long prompts.
	unpackedPenaltyMillis = 130.0
	// shortTargetFraction is the fraction of the time left to the target that the predicted first event of a short
	// prompt may use at stageEarly.
	shortTargetFraction = 0.5
	// minCallerTimeoutFraction is the fraction of FullCallerTimeout below which a waiting prompt is rejected, so that the
	// caller still has time to retry.
	minCallerTimeoutFraction = 0.5
	// maxSlotsFraction is the fraction of an engine's slots that prompts at stageEarly and stagePressed may fill.
	maxSlotsFraction = 0.95
	// missedSlotsFraction is the fraction of an engine's slots that prompts at stageMissed may fill.
	missedSlotsFraction = 0.7
	// busyPenaltyMillis is the penalty of an engine above busySlotsFraction, with a prefill budget below the
	// prompt's prefill time, or that wants no requests from another instance.
	busyPenaltyMillis = 200.0
	// crossDomainPenaltyMillis is the penalty of an engine in another failure domain.
	crossDomainPenaltyMillis = 15.0
	// distantSpread is the multiple of a prompt's prefill time over which it is spread among engines of other cells, of which summaries
	// come five times a second.
	distantSpread = 3.0
	// dueMarginMillis is kept between the planned end of a prefill and the time at which it is due.
	dueMarginMillis = 20.0
	// coldPenaltyMillis is the penalty of a cold engine. It exceeds those of others, so that warm engines come first while they meet the
	// target.
	coldPenaltyMillis = 1000.0
	// rankPenaltyMillis is the penalty for each rank; it orders engines of a failure domain that are otherwise equal.
	rankPenaltyMillis = 1.0
)

// Choose decides whether the prompt runs now and returns the plan if it does.
func Choose(pool *route.Pool, engines []fleet.Candidate, p *Prompt) (Plan, Verdict) {
	if len(engines) == 0 {
		return Plan{}, VerdictWait
	}
	if engines = healthy(engines); len(engines) == 0 {
		return Plan{}, VerdictResting
	}
	c := &choice{pool: pool, engines: engines, prompt: p, prefillMillis: pool.Prefill(p.Tokens)}
	if c.infeasible() {
		return Plan{}, VerdictReject
	}
	if c.engines = withinLimit(engines); len(c.engines) == 0 {
		return Plan{}, verdictAtLimit(engines, p.CallerTimeout, p.FullCallerTimeout)
	}
	switch local := c.local(); {
	case len(local) < minLocalEngines:
		return c.choosePlanOrYield()
	case c.prefillMillis >= crossDomainPrefillMillis:
		c.engines = c.loadKnown()
		return c.choosePlanOrYield()
	default:
		return c.localFirst(local)
	}
}

// choosePlan decides among c.engines.
func (c *choice) choosePlan() (Plan, Verdict) {
	plan, ok := Plan{}, false
	if c.isShort() {
		plan, ok = c.planShort()
	} else {
		plan, ok = c.planGroup()
	}
	plan.FirstEvent = ceilMillis(c.prompt.correct(float64(plan.FirstEvent)))
	switch {
	case !ok && c.shouldYieldWithoutPlan():
		return Plan{}, VerdictYield
	case !ok:
		return Plan{}, VerdictWait
	case plan.FirstEvent > c.prompt.TimeLeft:
		return Plan{}, VerdictReject
	}
	return plan, VerdictRun
}

// infeasible reports whether even the largest group can't prefill the prompt before its deadline or hold it in memory.
func (c *choice) infeasible() bool {
	k := min(len(c.engines), maxHelpers+1)
	memory := poplarwinch.Tokens(k) * c.pool.MemoryTokens
	return c.prefillMillis/float64(k) > float64(c.prompt.TimeLeft) || c.prompt.Tokens+c.prompt.AnswerTokens > memory
}

// choice is the state of one scheduling decision.
type choice struct {
	pool    *route.Pool
	engines []fleet.Candidate
	prompt  *Prompt
	// prefillMillis is the time in which one idle engine prefills the prompt.
	prefillMillis float64
	// spillover says that the prompt's failure domain has no room, so that engines of others with many free slots are
	// considered.
	spillover bool
	// pausableRequests is the number of requests on an engine whose pause limits may be exceeded if all of them are much
	// tighter than the prompt's.
	pausableRequests int
}

// healthy returns the engines that want requests and are not to be avoided, or all that want requests if none is left.
func healthy(engines []fleet.Candidate) []fleet.Candidate {
	list := make([]fleet.Candidate, 0, len(engines))
	for i := range engines {
		if e := &engines[i]; !e.Avoid && !e.Resting {
			list = append(list, *e)
		}
	}
	if len(list) > 0 {
		return list
	}
	for i := range engines {
		if e := &engines[i]; !e.Resting {
			list = append(list, *e)
		}
	}
	return list
}

// passMillis returns the time of a scheduling pass of the engine with one more request.
func (c *choice) passMillis(e *fleet.Candidate) float64 {
	n := e.Load.Requests + 1
	return c.pool.Pass(n, poplarwinch.Tokens(n*assumedContextTokens))
}

// isShort reports whether the prefill is short enough for one engine.
func (c *choice) isShort() bool { return c.prefillMillis <= maxSinglePrefillMillis }

// prefillBudgetMillis returns the prefill time that the engine can take on within the pause limits of its streams.
func (c *choice) prefillBudgetMillis(e *fleet.Candidate) float64 {
	if e.Load.MinPause == 0 {
		return math.Inf(1)
	}
	limitMillis := pauseLimitFraction * float64(e.Load.MinPause)
	if e.Load.Requests <= c.pausableRequests && minPauseLimitRatio*e.Load.MaxPause < c.prompt.MaxPause {
		limitMillis = max(limitMillis, pausedLimitMillis)
	}
	return limitMillis - c.passMillis(e) - queuedMillis(e)
}

// queuedMillis returns the prefill time that comes before or together with that of a further prompt.
func queuedMillis(e *fleet.Candidate) float64 {
	return float64(max(e.Load.Prefill, e.Load.PendingPrefill))
}

// dueBudgetMillis returns the prefill time that the engine can take on and still finish its present prefill by due. A
// prompt that joins a pass delays the first events of all prompts in it.
func (c *choice) dueBudgetMillis(e *fleet.Candidate, due clock.Millis) float64 {
	return float64(due) - dueMarginMillis - c.passMillis(e) - queuedMillis(e)
}

// fits reports whether the engine has a slot and memory for the prompt. It leaves some slots free because other
// instances decide at the same time.
func (c *choice) fits(e *fleet.Candidate) bool {
	limit := float64(c.pool.Slots)
	switch c.stage() {
	case stageUrgent:
	case stageMissed:
		limit *= missedSlotsFraction
	default:
		limit *= maxSlotsFraction
	}
	if c.spillover && !c.isLocal(e) {
		limit = min(limit, spilloverSlotsFraction*float64(c.pool.Slots))
	}
	return float64(e.Load.Requests+1) <= limit && e.Load.Memory+c.prompt.Tokens+c.prompt.AnswerTokens <= c.pool.MemoryTokens
}

// firstEventMillis predicts the time to the first event of a prompt that only this engine prefills.
func (c *choice) firstEventMillis(e *fleet.Candidate, prefillMillis float64) float64 {
	passMillis := c.passMillis(e)
	waitMillis := 0.0
	if e.Load.Decoding > 0 {
		waitMillis = passMillis / 2
	}
	return waitMillis + queuedMillis(e) + prefillMillis + passMillis + float64(c.prompt.Path)
}

// planShort chooses the engine for a short prompt. Engines that already serve short prompts are preferred, which leaves
// the others to long prompts.
func (c *choice) planShort() (Plan, bool) {
	stage := c.stage()
	best, bestCostMillis := -1, math.Inf(1)
	for i := range c.engines {
		e := &c.engines[i]
		predictedMillis := c.firstEventMillis(e, c.prefillMillis)
		if !c.fits(e) || !c.eligible(e, stage, predictedMillis) {
			continue
		}
		if costMillis := predictedMillis + c.penaltyMillis(e) + c.spreadMillis(e); costMillis < bestCostMillis {
			best, bestCostMillis = i, costMillis
		}
	}
	if best < 0 {
		return Plan{}, false
	}
	return c.shortPlan(&c.engines[best], stage), true
}

// eligible reports whether a prompt at the stage may run on the engine, given its predicted time to the first event. The
// due time of group parts is not checked, because engines prefill these first, nor is one that has already passed,
// because that prompt is late anyway.
func (c *choice) eligible(e *fleet.Candidate, stage stage, predictedMillis float64) bool {
	if stage == stageUrgent {
		return true
	}
	if c.prefillBudgetMillis(e) < c.prefillMillis || e.Load.PendingDue > 0 && c.dueBudgetMillis(e, e.Load.PendingDue) < c.prefillMillis {
		return false
	}
	switch stage {
	case stageMissed:
		return predictedMillis <= float64(c.prompt.CallerTimeout)
	case stagePressed:
		return predictedMillis <= float64(c.prompt.Target)
	}
	return predictedMillis <= shortTargetFraction*float64(c.prompt.Target)
}

// spreadMillis returns a cost between zero and the prefill time of the prompt, or distantSpread times that for engines whose load is
// known late, which differs between requests and engines. Instances that decide before they know of each other's decisions would
// otherwise all choose the same engine, which delays the first events of their prompts by this prefill time.
func (c *choice) spreadMillis(e *fleet.Candidate) float64 {
	if c.prompt.Seed == 0 {
		return 0
	}
	most := c.prefillMillis
	if !c.isLocal(e) {
		most *= distantSpread
	}
	const fractionBits = 53
	h := (e.Hash ^ c.prompt.Seed) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return most * float64(h>>(64-fractionBits)) / (1 << fractionBits)
}

// penaltyMillis returns the cost of an engine besides its time to the first event.
func (c *choice) penaltyMillis(e *fleet.Candidate) float64 {
	costMillis := float64(e.Rank) * rankPenaltyMillis
	if c.packed(e) {
		costMillis -= packingBonusMillis * float64(e.Load.Requests)
	} else {
		costMillis += unpackedPenaltyMillis
	}
	if float64(e.Load.Requests+1) > busySlotsFraction*float64(c.pool.Slots) {
		costMillis += busyPenaltyMillis
	}
	if !c.isLocal(e) {
		costMillis += crossDomainPenaltyMillis
	}
	if e.RestsForPeers {
		costMillis += busyPenaltyMillis
	}
	if e.Cold {
		costMillis += coldPenaltyMillis
	}
	if c.prefillBudgetMillis(e) < c.prefillMillis {
		costMillis += busyPenaltyMillis
	}
	return costMillis
}

// packed reports whether the engine has a stream with a pause limit no longer than the prompt's, so that the prompt does
// not lower the engine's prefill budget. Prompts are not packed on cold engines.
func (c *choice) packed(e *fleet.Candidate) bool {
	return !e.Cold && e.Load.MinPause != 0 && e.Load.MinPause <= c.prompt.MaxPause
}

func (c *choice) shortPlan(e *fleet.Candidate, stage stage) Plan {
	reason := ReasonPacked
	switch {
	case stage.targetMissed():
		reason = ReasonLate
	case !c.packed(e):
		reason = ReasonOpened
	}
	return Plan{
		First: e.ID, Prefill: ceilMillis(c.prefillMillis), FirstEvent: ceilMillis(c.firstEventMillis(e, c.prefillMillis)), Reason: reason,
	}
}

func ceilMillis(ms float64) clock.Millis { return clock.Millis(math.Ceil(ms)) }

package assignment

// stage is the urgency of a prompt. It determines how far the prompt may delay others.
type stage string

const (
	// stageEarly prompts run only on engines where they meet the target and keep the limits of other requests.
	stageEarly stage = "early"
	// stagePressed prompts have used a part of the time to the target and may fill an engine further to meet it.
	stagePressed stage = "pressed"
	// stageMissed prompts can no longer meet the target. Further delay costs little, so they leave busy engines to
	// others.
	stageMissed stage = "missed"
	// stageUrgent prompts have to run now because their callers are about to abandon them.
	stageUrgent stage = "urgent"
)

const (
	// shortEarlyFraction is the fraction of FullTarget for which a short prompt stays at stageEarly.
	shortEarlyFraction = 0.15
	// longEarlyFraction is the fraction of FullTarget for which a long prompt stays at stageEarly.
	longEarlyFraction = 0.6
	// saturatedSlotsFraction is the fraction of all slots in use from which the engines count as saturated.
	saturatedSlotsFraction = 0.8
	// urgentMarginMillis is added to the prefill time of a prompt for the start of stageUrgent before the caller
	// abandons it.
	urgentMarginMillis = 800.0
	// urgentEngines is the number of engines that are assumed to share the prefill of an urgent long prompt.
	urgentEngines = 3
)

func (c *choice) stage() stage {
	p := c.prompt
	urgentPrefillMillis, bestPrefillMillis := c.prefillMillis, c.prefillMillis/float64(min(len(c.engines), maxHelpers+1))
	if c.isShort() {
		bestPrefillMillis = urgentPrefillMillis
	} else {
		urgentPrefillMillis /= urgentEngines
	}
	switch {
	case float64(p.CallerTimeout) < urgentPrefillMillis+urgentMarginMillis:
		return stageUrgent
	case float64(p.Target) < bestPrefillMillis+c.singlePassMillis():
		return stageMissed
	case float64(p.Target) < (1-c.earlyFraction())*float64(p.FullTarget):
		return stagePressed
	}
	return stageEarly
}

// earlyFraction returns the fraction of FullTarget for which the prompt stays at stageEarly.
func (c *choice) earlyFraction() float64 {
	if c.isShort() {
		return shortEarlyFraction
	}
	return longEarlyFraction
}

// singlePassMillis returns the time of a pass of an engine with one request.
func (c *choice) singlePassMillis() float64 { return c.pool.Pass(1, assumedContextTokens) }

// targetMissed reports whether a prompt at the stage is treated as unable to meet the target.
func (s stage) targetMissed() bool { return s == stageMissed || s == stageUrgent }

// saturated reports whether so few slots are free that a late prompt would delay newly arrived ones beyond their
// targets. Without this check one peak of load makes prompts late until long after it, though the engines could serve
// most of them in time.
func (c *choice) saturated() bool {
	used := 0
	for i := range c.engines {
		used += c.engines[i].Load.Requests
	}
	return float64(used) >= saturatedSlotsFraction*float64(len(c.engines)*c.pool.Slots)
}

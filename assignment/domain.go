package assignment

import (
	"slices"

	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// minLocalEngines is the number of engines from which a failure domain plans on its own, apart from very long
	// prompts. The load in other domains is known later than that in the own one.
	minLocalEngines = 10
	// crossDomainPrefillMillis is the prefill time from which engines of all failure domains take part. Prompts of that
	// length are rare, but a few at once overload one failure domain while others are idle.
	crossDomainPrefillMillis = 700.0
	// spilloverSlotsFraction is the fraction of its slots up to which an engine of another failure domain takes prompts
	// that spill over.
	spilloverSlotsFraction = 0.7
)

// localFirst chooses among the local engines, then among those of all failure domains if there is no room. Short prompts
// at stageEarly wait for a local engine.
func (c *choice) localFirst(local []fleet.Candidate) (Plan, Verdict) {
	loadKnown := c.loadKnown()
	c.engines = local
	plan, verdict := c.choosePlanOrYield()
	if verdict == VerdictRun || c.isShort() && c.stage() == stageEarly {
		return plan, verdict
	}
	c.engines, c.spillover = loadKnown, true
	if wider, v := c.choosePlan(); v == VerdictRun {
		return wider, v
	}
	return plan, verdict
}

// isLocal reports whether the engine is in the prompt's failure domain, and in its cell if that is divided.
func (c *choice) isLocal(e *fleet.Candidate) bool { return e.Domain == c.prompt.Domain && !e.OtherCell }

// local returns the local engines.
func (c *choice) local() []fleet.Candidate {
	return slices.DeleteFunc(slices.Clone(c.engines), func(e fleet.Candidate) bool { return !c.isLocal(&e) })
}

// loadKnown returns the local engines and those of other failure domains whose load has been reported.
func (c *choice) loadKnown() []fleet.Candidate {
	return slices.DeleteFunc(slices.Clone(c.engines), func(e fleet.Candidate) bool { return !e.LoadKnown && !c.isLocal(&e) })
}

// choosePlanOrYield chooses among c.engines unless the prompt is rejected at once.
func (c *choice) choosePlanOrYield() (Plan, Verdict) {
	if c.shouldYieldBeforePlanning() {
		return Plan{}, VerdictYield
	}
	return c.choosePlan()
}

// shouldYieldBeforePlanning reports whether a short prompt that is past stageEarly is rejected because the engines
// are saturated.
func (c *choice) shouldYieldBeforePlanning() bool {
	return c.isShort() && c.stage() != stageEarly && c.saturated()
}

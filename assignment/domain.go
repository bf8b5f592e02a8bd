package assignment

import (
	"slices"

	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// cellEngines is the number of engines from which a failure domain plans for itself, apart from very long prompts. What
	// other domains have in work is known later than what happens here.
	cellEngines = 10
	// wideMillis is the time of reading from which a prompt is read by engines of all failure domains: so long ones are rare,
	// and several at the same time are too much for one failure domain while others have little to do.
	wideMillis = 700.0
	// spillShare is the share of its slots up to which a distant engine gets short prompts.
	spillShare = 0.7
)

// nearFirst chooses among the near engines, and among those of other failure domains if there is no room. Fresh short prompts
// wait for room at home.
func (c *choice) nearFirst(near []fleet.Candidate) (Plan, Verdict) {
	known := c.known()
	c.engines = near
	plan, verdict := c.decideLate()
	if verdict == VerdictRun || c.short() && c.stage() == stageEarly {
		return plan, verdict
	}
	c.engines, c.spill = known, true
	if wider, v := c.decide(); v == VerdictRun {
		return wider, v
	}
	return plan, verdict
}

// home reports whether the engine is in the prompt's failure domain.
func (c *choice) home(e *fleet.Candidate) bool { return e.Domain == c.prompt.Domain }

// near returns the engines of the own failure domain.
func (c *choice) near() []fleet.Candidate {
	return slices.DeleteFunc(slices.Clone(c.engines), func(e fleet.Candidate) bool { return !c.home(&e) })
}

// known returns the engines whose work is known, if only late.
func (c *choice) known() []fleet.Candidate {
	return slices.DeleteFunc(slices.Clone(c.engines), func(e fleet.Candidate) bool { return !e.Known && !c.home(&e) })
}

// decideLate chooses among the engines, but turns prompts away that a crest has made late.
func (c *choice) decideLate() (Plan, Verdict) {
	if c.crowded() {
		return Plan{}, VerdictYield
	}
	return c.decide()
}

// crowded reports whether the prompt is a short one that has waited in vain while nearly all slots are in use.
func (c *choice) crowded() bool { return c.short() && c.stage() != stageEarly && c.saturated() }

package assignment

// stage says what a prompt may still expect, and so how much it may disturb others.
type stage string

const (
	// stageEarly prompts run only where they come in time and disturb nobody.
	stageEarly stage = "early"
	// stagePressed prompts have waited for a part of the time to the target; they may crowd an engine if that brings them in
	// time.
	stagePressed stage = "pressed"
	// stageMissed prompts can't come in time any more. How late they come matters little, so they leave the engines to
	// others while those are busy.
	stageMissed stage = "missed"
	// stageUrgent prompts have to run now, since their callers give up soon.
	stageUrgent stage = "urgent"
)

const (
	// shortPatience and longPatience are the parts of the time to the first event that short and long prompts wait for
	// engines on which they disturb nobody.
	shortPatience = 0.15
	longPatience  = 0.6
	// saturatedShare is the share of all slots in use from which late prompts are turned away.
	saturatedShare = 0.8
	// urgentMillis is the time before a caller gives up in which a prompt has to run, besides its reading.
	urgentMillis = 800.0
	// urgentEngines is the number of engines that an urgent prompt can count on.
	urgentEngines = 3
)

// stage returns the stage of the prompt.
func (c *choice) stage() stage {
	p := c.prompt
	alone, together := c.read, c.read/float64(min(len(c.engines), maxHelpers+1))
	if c.short() {
		together = alone
	} else {
		alone /= urgentEngines
	}
	switch {
	case float64(p.Patience) < alone+urgentMillis:
		return stageUrgent
	case float64(p.Target) < together+c.emptyPass():
		return stageMissed
	case float64(p.Target) < (1-c.patience())*float64(p.FullTarget):
		return stagePressed
	}
	return stageEarly
}

func (c *choice) patience() float64 {
	if c.short() {
		return shortPatience
	}
	return longPatience
}

// emptyPass returns the time of a pass of an engine with one request, in ms.
func (c *choice) emptyPass() float64 { return c.pool.Pass(1, averageContext) }

// late reports whether a prompt of the stage can't come in time any more.
func (s stage) late() bool { return s == stageMissed || s == stageUrgent }

// saturated reports whether so few slots are free that a late prompt would make fresh ones late. Without that check one
// crest makes all prompts late until long after it, though the engines could serve most of them in time.
func (c *choice) saturated() bool {
	used := 0
	for i := range c.engines {
		used += c.engines[i].Load.Requests
	}
	return float64(used) >= saturatedShare*float64(len(c.engines)*c.pool.Slots)
}

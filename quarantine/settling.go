package quarantine

import "github.com/poplarwinch/poplarwinch/clock"

// settleTime is how long prompts wait after the death of an engine before they start without isolation. Copies of the
// crashing request reach several instances at the same moment, and the news of the suspects takes a few milliseconds
// between them; a copy that started before it would crash the engine of a suspect that is innocent.
const settleTime clock.Millis = 100

// Settling returns how much longer a prompt that is not known as a suspect should wait, or zero.
func (g *Register) Settling() clock.Millis {
	return max(0, clock.Millis(g.lastDeath.Load())+settleTime-g.clock.Now())
}

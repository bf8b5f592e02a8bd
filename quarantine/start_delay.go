package quarantine

import "github.com/poplarwinch/poplarwinch/clock"

// startDelay is how long prompts wait after an engine death before they start without isolation. Copies of a crashing
// request reach several instances at the same time, and it takes a few milliseconds until all of them have received the
// suspects. A copy that started before that could crash the engine of an isolated harmless suspect.
const startDelay clock.Millis = 100

// StartDelay returns how much longer a prompt that is not a known suspect should wait, or zero.
func (g *Register) StartDelay() clock.Millis {
	return max(0, clock.Millis(g.lastDeathMillis.Load())+startDelay-g.clock.Now())
}

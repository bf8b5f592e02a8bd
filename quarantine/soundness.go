package quarantine

import (
	"maps"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// SurvivalTime is the time from the first event of an answer after which its engine counts as having survived the parts of the
	// prompt.
	SurvivalTime clock.Millis = 500
	// maxSound is the number of parts whose latest answers are kept.
	maxSound = 4096
	// soundRetention is the time for which they are kept at least.
	soundRetention = 30 * clock.Second
)

// soundness has the latest times at which engines began answers and survived, so that a suspect that is reported late is cleared at
// once.
type soundness map[Fingerprint]clock.Millis

// record keeps the time for a suspect.
func (s soundness) record(f Fingerprint, at, now clock.Millis) {
	s[f] = max(s[f], at)
	if len(s) <= maxSound {
		return
	}
	maps.DeleteFunc(s, func(_ Fingerprint, at clock.Millis) bool { return now-at > soundRetention })
	if len(s) > maxSound {
		clear(s)
	}
}

package entry

import (
	"testing"
	"time"
)

// Guards against an answer that comes after the caller's limit because too little of it is kept for what the caller measures
// beyond the instance's own time, of which 36 ms were seen on a busy machine, and for a timer that is 15 ms late.
func TestSettleTimeLeavesTimeForTheAnswer(t *testing.T) {
	const beyond = 36*time.Millisecond + 15*time.Millisecond
	for _, left := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, time.Second, time.Minute} {
		if rest := left - settleTime(left); rest <= beyond {
			t.Errorf("with %s left, settling takes all but %s, want more than %s", left, rest, beyond)
		}
	}
}

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

// Guards against an answer that is held beyond its deadline because the service answered shortly before it and the table is slow.
func TestSettleTimeEndsBeforeTheDeadline(t *testing.T) {
	for _, left := range []time.Duration{-time.Second, 0, 10 * time.Millisecond, 40 * time.Millisecond, 90 * time.Millisecond, time.Second} {
		if settle := settleTime(left); settle > max(left/2, left-answerReserve, 0) {
			t.Errorf("with %s left, an answer waits %s", left, settle)
		}
	}
}

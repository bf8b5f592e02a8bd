package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Load holds the values of an engine's load report.
type Load struct {
	// At is the time to which the values refer: the time at which they were read minus the report's age. It is zero
	// without a report.
	At                     clock.Millis
	RunningRequests        int64
	WaitingRequests        int64
	WaitingPrefillTokens   poplarwinch.Tokens
	KVUsedTokens           poplarwinch.Tokens
	KVCapacityTokens       poplarwinch.Tokens
	PrefillTokensPerSecond int64
}

// differsMaterially reports whether the difference between l and other is large enough to be sent to peers before the
// regular refresh.
func (l Load) differsMaterially(other Load) bool {
	return exceedsTolerance(int64(l.WaitingPrefillTokens), int64(other.WaitingPrefillTokens), 2048) ||
		exceedsTolerance(l.RunningRequests, other.RunningRequests, 4) ||
		exceedsTolerance(l.PrefillTokensPerSecond, other.PrefillTokensPerSecond, 1000)
}

// exceedsTolerance reports whether a and b differ by more than tolerance and by more than a quarter of the larger one.
func exceedsTolerance(a, b, tolerance int64) bool {
	difference := max(a-b, b-a)
	return difference > tolerance && difference > max(a, b)/4
}

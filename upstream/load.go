package upstream

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Load holds the figures of an engine's last load report.
type Load struct {
	// At is the time at which the figures held: the time of reading them minus the report's age. Zero means that
	// there is no report.
	At                     clock.Millis
	RunningRequests        int64
	WaitingRequests        int64
	WaitingPrefillTokens   poplarwinch.Tokens
	KVUsedTokens           poplarwinch.Tokens
	KVCapacityTokens       poplarwinch.Tokens
	PrefillTokensPerSecond int64
}

// differs reports whether the change from l to other is worth telling peers before the regular refresh.
func (l Load) differs(other Load) bool {
	return far(int64(l.WaitingPrefillTokens), int64(other.WaitingPrefillTokens), 2048) ||
		far(l.RunningRequests, other.RunningRequests, 4) ||
		far(l.PrefillTokensPerSecond, other.PrefillTokensPerSecond, 1000)
}

// far reports whether a and b are more than slack and more than a quarter of the larger one apart.
func far(a, b, slack int64) bool {
	gap := max(a-b, b-a)
	return gap > slack && gap > max(a, b)/4
}

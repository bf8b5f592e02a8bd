package peer

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Load is the load that an engine reported.
type Load struct {
	Running              int
	Waiting              int
	WaitingPrefillTokens poplarwinch.Tokens
	KVUsedTokens         poplarwinch.Tokens
	KVCapacityTokens     poplarwinch.Tokens
	PrefillTokensPerSec  int64
	ReportAge            clock.Millis
}

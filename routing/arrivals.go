package routing

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/window"
)

const (
	// arrivalBucketWidth is the width of a bucket of the arrival counters.
	arrivalBucketWidth = 250 * clock.Millis(1)
	// arrivalBuckets is the number of buckets; they cover more than arrivalWindow.
	arrivalBuckets = 40
	// arrivalWindow is the span over which the share of long prompts is taken, short enough that the set of engines for
	// long prompts follows a change of demand within seconds.
	arrivalWindow clock.Millis = 8 * clock.Second
)

// arrivals counts the prefill tokens of recent prompts for one model.
type arrivals struct {
	all  *window.Counter
	long *window.Counter
}

func newArrivals() *arrivals {
	return &arrivals{window.New(arrivalBucketWidth, arrivalBuckets), window.New(arrivalBucketWidth, arrivalBuckets)}
}

func (a *arrivals) add(now clock.Millis, p *Prompt) {
	a.all.Add(now, int64(p.Tokens))
	if p.Class == ClassLong {
		a.long.Add(now, int64(p.Tokens))
	}
}

// recentLongSetSize returns how many of n engines serve long prompts.
func (a *arrivals) recentLongSetSize(now clock.Millis, n int) int {
	return longSetSize(n, a.long.Sum(now, arrivalWindow), a.all.Sum(now, arrivalWindow))
}

// longSetSize returns the number of engines, out of n, that long prompts may use when longTokens of the allTokens recent
// prefill tokens belong to long prompts. It is zero without long prompts; with two or more engines, at least one is left
// to other prompts.
func longSetSize(n int, longTokens, allTokens int64) int {
	if longTokens <= 0 || allTokens <= 0 || n == 0 {
		return 0
	}
	size := int((longTokens*int64(n) + allTokens - 1) / allTokens)
	return max(1, min(size, n-1))
}

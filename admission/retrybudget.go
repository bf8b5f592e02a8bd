package admission

import (
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// A request earns a tenth of a retry.
	earnedPerRequest = 1
	earnedPerRetry   = 10
	// At most 100 retries are saved up, so that a long calm does not allow a retry storm.
	maxEarned = 100 * earnedPerRetry
	// Retries allowed in each second whatever has been earned.
	minRetriesPerSecond = 3
)

// RetryBudget bounds retries to 10% of requests, or to 3 a second if that is more.
type RetryBudget struct {
	clock  *clock.Clock
	earned atomic.Int64
	// second packs the current second and the retries taken in it.
	second atomic.Int64
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget(c *clock.Clock) *RetryBudget { return &RetryBudget{clock: c} }

// Earn records a request.
func (b *RetryBudget) Earn() {
	for {
		old := b.earned.Load()
		if old >= maxEarned || b.earned.CompareAndSwap(old, old+earnedPerRequest) {
			return
		}
	}
}

// Take reports whether a retry is allowed and takes it from the budget.
func (b *RetryBudget) Take() bool {
	if b.takeMinimum() {
		b.takeEarned()
		return true
	}
	return b.takeEarned()
}

func (b *RetryBudget) takeMinimum() bool {
	now := int64(b.clock.Now() / clock.Second)
	for {
		old := b.second.Load()
		next := now<<8 | 1
		if old>>8 == now {
			if old&0xff >= minRetriesPerSecond {
				return false
			}
			next = old + 1
		}
		if b.second.CompareAndSwap(old, next) {
			return true
		}
	}
}

func (b *RetryBudget) takeEarned() bool {
	for {
		old := b.earned.Load()
		if old < earnedPerRetry {
			return false
		}
		if b.earned.CompareAndSwap(old, old-earnedPerRetry) {
			return true
		}
	}
}

package admission

import (
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// creditPerRequest is the credit that a request adds.
	creditPerRequest = 1
	// creditPerRetry is the credit that a retry takes.
	creditPerRetry = 10
	// maxCredit limits the credit to 100 retries, so that a long time without retries does not allow a retry storm.
	maxCredit = 100 * creditPerRetry
	// minRetriesPerSecond is the number of retries allowed in each second regardless of the credit.
	minRetriesPerSecond = 3
)

// RetryBudget limits retries to 10% of the requests, or to 3 per second if that is more.
type RetryBudget struct {
	clock *clock.Clock
	// credit is what requests added and retries have not taken.
	credit atomic.Int64
	// second packs the current second and, in the low 8 bits, the number of retries in it.
	second atomic.Int64
}

// NewRetryBudget returns a budget without credit.
func NewRetryBudget(c *clock.Clock) *RetryBudget { return &RetryBudget{clock: c} }

// Earn adds the credit of a request.
func (b *RetryBudget) Earn() {
	for {
		old := b.credit.Load()
		if old >= maxCredit || b.credit.CompareAndSwap(old, old+creditPerRequest) {
			return
		}
	}
}

// Take reports whether a retry is allowed, and takes it from the budget if so.
func (b *RetryBudget) Take() bool {
	if b.takeMinimum() {
		b.takeCredit()
		return true
	}
	return b.takeCredit()
}

// takeMinimum takes one of the retries that are allowed in each second.
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

// takeCredit takes the credit of a retry if there is enough.
func (b *RetryBudget) takeCredit() bool {
	for {
		old := b.credit.Load()
		if old < creditPerRetry {
			return false
		}
		if b.credit.CompareAndSwap(old, old-creditPerRetry) {
			return true
		}
	}
}

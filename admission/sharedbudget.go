package admission

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/window"
)

const (
	// budgetBuckets is the number of buckets in which a budget window is counted.
	budgetBuckets = 32
	// budgetReserve is the part of the allowed retries that an instance leaves unused, since others come and go.
	budgetReserve = 0.2
)

// SharedBudget bounds the retries of all instances together, as a share of the requests in a sliding window and a number
// that the instances divide evenly. Each service has a budget of its own.
type SharedBudget struct {
	clock     *clock.Clock
	ratio     float64
	slack     float64
	span      clock.Millis
	instances func() int
	requests  *window.Counter
	retries   *window.Counter
}

// NewSharedBudget returns a budget that allows ratio retries for each request and slack retries in each span.
func NewSharedBudget(c *clock.Clock, ratio, slack float64, span clock.Millis, instances func() int) *SharedBudget {
	width := max(span*2/budgetBuckets, 1)
	return &SharedBudget{
		clock: c, ratio: ratio, slack: slack, span: span, instances: instances,
		requests: window.New(width, budgetBuckets), retries: window.New(width, budgetBuckets),
	}
}

// Earn records a request.
func (b *SharedBudget) Earn() { b.requests.Add(b.clock.Now(), 1) }

// Take reports whether a retry is allowed now, and counts it if so.
func (b *SharedBudget) Take() bool {
	now := b.clock.Now()
	own := b.slack / float64(max(b.instances(), 1))
	allowed := (1 - budgetReserve) * (b.ratio*float64(b.requests.Sum(now, b.span)) + own)
	if float64(b.retries.Sum(now, b.span)+1) > allowed {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

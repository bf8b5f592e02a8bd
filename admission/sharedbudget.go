package admission

import (
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/window"
)

const (
	// budgetBuckets is the number of buckets of each counter; about half of them cover the window.
	budgetBuckets = 32
	// unusedRetriesFraction is the fraction of the allowed retries that an instance leaves unused, since the number of
	// instances varies.
	unusedRetriesFraction = 0.2
	// firstPartFraction is the fraction of its part of the shared retries that a process has at its start.
	firstPartFraction = 0.2
)

// SharedRetryBudget limits the retries of all instances together in a sliding window: to a ratio of the requests plus a
// fixed number that is divided evenly among the instances. Each service has its own budget.
type SharedRetryBudget struct {
	clock *clock.Clock
	// retriesPerRequest is the number of retries allowed for each request.
	retriesPerRequest float64
	// sharedRetries is the number of retries that all instances together are allowed in each window regardless of requests.
	sharedRetries float64
	// windowLength is the length of the sliding window.
	windowLength clock.Millis
	// bucketWidth is the duration of a bucket of requests and retries.
	bucketWidth clock.Millis
	// instances returns the number of instances that divide sharedRetries.
	instances func() int
	requests  *window.Counter
	retries   *window.Counter
	// startedAt is the time from which this instance's part of sharedRetries grows to its whole, over one window.
	startedAt clock.Millis
	// mutex makes finding that a retry is allowed and counting it one step.
	mutex sync.Mutex
}

// SharedOption configures a SharedRetryBudget.
type SharedOption func(*SharedRetryBudget)

// WithStart sets the time at which the process started. Its predecessor may have used its part of the shared retries just before, so
// this process has a fraction of it at first, which grows over one window. Without it, the whole part is available at once.
func WithStart(at clock.Millis) SharedOption { return func(b *SharedRetryBudget) { b.startedAt = at } }

// NewSharedRetryBudget returns a budget that allows retriesPerRequest retries for each request and, over all instances,
// sharedRetries more in each window.
func NewSharedRetryBudget(c *clock.Clock, retriesPerRequest, sharedRetries float64, windowLength clock.Millis, instances func() int, opts ...SharedOption) *SharedRetryBudget {
	width := max(windowLength*2/budgetBuckets, 1)
	b := &SharedRetryBudget{
		clock: c, startedAt: c.Now() - windowLength, retriesPerRequest: retriesPerRequest, sharedRetries: sharedRetries, windowLength: windowLength, bucketWidth: width, instances: instances,
		requests: window.New(width, budgetBuckets), retries: window.New(width, budgetBuckets),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Earn counts a request.
func (b *SharedRetryBudget) Earn() { b.requests.Add(b.clock.Now(), 1) }

// Allows reports whether a retry is allowed now, without counting it.
func (b *SharedRetryBudget) Allows() bool { return b.allows(b.clock.Now()) }

// Take reports whether a retry is allowed now, and counts it if so.
func (b *SharedRetryBudget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock.Now()
	if !b.allows(now) {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

func (b *SharedRetryBudget) allows(now clock.Millis) bool {
	grown := min(max(float64(now-b.startedAt)/float64(b.windowLength), firstPartFraction), 1)
	ownRetries := grown * b.sharedRetries / float64(max(b.instances(), 1))
	allowed := (1 - unusedRetriesFraction) * (b.retriesPerRequest*float64(b.requests.Sum(now, b.windowLength)) + ownRetries)
	// The bucket in which the window begins counts as a whole.
	return float64(b.retries.Sum(now, b.windowLength+b.bucketWidth)+1) <= allowed
}

package admission_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Guards against retry storms: all instances together stay within the retries per request plus the shared ones in every
// window.
func TestSharedBudget(t *testing.T) {
	const instances, windowLength, sharedRetries, retriesPerRequest, steps = 9, 10 * clock.Second, 106.0, 0.2, 600
	now := clock.NewManual(100_000)
	var budgets []*admission.SharedRetryBudget
	for range instances {
		budgets = append(budgets, admission.NewSharedRetryBudget(now.Clock(), retriesPerRequest, sharedRetries, windowLength, func() int { return instances }))
	}
	requests, retries := make([]int, steps), make([]int, steps)
	const step clock.Millis = 100
	for i := range steps {
		now.Advance(step)
		for n, b := range budgets {
			if (i+n)%3 == 0 {
				b.Earn()
				requests[i]++
			}
			for range 3 {
				if b.Take() {
					retries[i]++
				}
			}
		}
	}
	window := int(windowLength / step)
	for i := window; i < steps; i++ {
		asked, taken := 0, 0
		for j := i - window; j < i; j++ {
			asked += requests[j]
			taken += retries[j]
		}
		if limit := retriesPerRequest*float64(asked) + sharedRetries; float64(taken) > limit {
			t.Fatalf("window that ends at step %d: %d retries, at most %.0f allowed", i, taken, limit)
		}
		if taken == 0 {
			t.Fatalf("window that ends at step %d: no retry at all", i)
		}
	}
}

// Guards against retries that are allowed again a little before the window since the last ones has passed: all of them are taken at once,
// as soon as they are allowed.
func TestSharedBudgetTakenAtOnce(t *testing.T) {
	const windowLength, sharedRetries, steps = 10 * clock.Second, 100, 6000
	const step clock.Millis = 10
	for _, start := range []clock.Millis{100_000, 100_310, 100_620} {
		now := clock.NewManual(start)
		b := admission.NewSharedRetryBudget(now.Clock(), 0.2, sharedRetries, windowLength, func() int { return 1 })
		taken, sum := make([]int, steps), 0
		for i := range steps {
			now.Advance(step)
			for b.Take() {
				taken[i]++
			}
			sum += taken[i]
			if first := i - int(windowLength/step); first >= 0 {
				sum -= taken[first]
			}
			if sum > sharedRetries {
				t.Fatalf("started at %d: %d retries in the 10 s before step %d, %d are allowed", start, sum, i, sharedRetries)
			}
		}
	}
}

// Guards against more retries than are allowed when many requests ask for one at the same time, as they do when their servers fall silent.
func TestSharedBudgetTakenBySeveralRequests(t *testing.T) {
	const sharedRetries, requests, rounds = 100, 64, 200
	for range rounds {
		b := admission.NewSharedRetryBudget(clock.NewManual(100_000).Clock(), 0, sharedRetries, 10*clock.Second, func() int { return 1 })
		var taken atomic.Int64
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				for range 3 {
					if b.Take() {
						taken.Add(1)
					}
				}
			})
		}
		group.Wait()
		if taken.Load() != 80 {
			t.Fatalf("%d retries at once, want the 80 that are allowed", taken.Load())
		}
	}
}

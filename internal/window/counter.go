// Package window provides a lock-free sliding-window counter.
package window

import (
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// amountBits is the number of low bits of a bucket that hold its amount.
	amountBits = 40
	// amountMask selects the amount of a bucket.
	amountMask = 1<<amountBits - 1
	// epochMask reduces an epoch to the high bits of a bucket.
	epochMask = 1<<(64-amountBits) - 1
)

// Counter sums amounts in a ring of buckets of equal duration. An epoch is the number of a bucket since time zero. Each
// bucket packs its 24-bit epoch and a 40-bit amount into one word, so that concurrent reuse of a bucket and an addition
// to it are atomic.
type Counter struct {
	width   clock.Millis
	buckets []atomic.Uint64
	// cleared is the last epoch up to which Clear has emptied the buckets.
	cleared atomic.Int64
}

// New returns a counter with n buckets of the given duration.
func New(width clock.Millis, n int) *Counter {
	return &Counter{width: width, buckets: make([]atomic.Uint64, n)}
}

// Add adds amount to the bucket of now and returns its epoch. The second result is the amount of an expired epoch that
// the bucket held until then.
func (c *Counter) Add(now clock.Millis, amount int64) (epoch, expired int64) {
	epoch = int64(now / c.width)
	bucket := c.bucket(epoch)
	for {
		old := bucket.Load()
		next := uint64(epoch&epochMask)<<amountBits | uint64(amount)
		dropped := int64(old & amountMask)
		if old>>amountBits == uint64(epoch&epochMask) {
			next, dropped = old+uint64(amount), 0
		}
		if bucket.CompareAndSwap(old, next) {
			return epoch, dropped
		}
	}
}

// Remove subtracts amount from the bucket of epoch. It reports false and changes nothing if the bucket no longer holds
// it.
func (c *Counter) Remove(epoch, amount int64) bool {
	bucket := c.bucket(epoch)
	for {
		old := bucket.Load()
		if old>>amountBits != uint64(epoch&epochMask) || old&amountMask < uint64(amount) {
			return false
		}
		if bucket.CompareAndSwap(old, old-uint64(amount)) {
			return true
		}
	}
}

// Clear empties the buckets that ended at or before end and returns the total amount that they held.
func (c *Counter) Clear(now, end clock.Millis) int64 {
	var cleared int64
	last := int64(end/c.width) - 1
	first := max(int64(now/c.width)-int64(len(c.buckets))+1, min(c.cleared.Swap(last), last))
	for epoch := first; epoch <= last; epoch++ {
		bucket := c.bucket(epoch)
		for {
			old := bucket.Load()
			amount := old & amountMask
			if amount == 0 || old>>amountBits != uint64(epoch&epochMask) {
				break
			}
			if bucket.CompareAndSwap(old, old-amount) {
				cleared += int64(amount)
				break
			}
		}
	}
	return cleared
}

// Sum returns the total amount of the buckets that start within the span before now.
func (c *Counter) Sum(now, span clock.Millis) int64 {
	var sum int64
	last := int64(now / c.width)
	first := max(int64((now-span)/c.width)+1, last-int64(len(c.buckets))+1)
	for epoch := first; epoch <= last; epoch++ {
		if word := c.bucket(epoch).Load(); word>>amountBits == uint64(epoch&epochMask) {
			sum += int64(word & amountMask)
		}
	}
	return sum
}

// bucket returns the place of an epoch in the ring.
func (c *Counter) bucket(epoch int64) *atomic.Uint64 {
	return &c.buckets[uint64(epoch)%uint64(len(c.buckets))]
}

package main

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// subBucketBits is the base-2 logarithm of subBuckets.
	subBucketBits = 6
	// subBuckets is the number of buckets per power of two; quantiles are at most 1/64 (1.6%) too high.
	subBuckets = 1 << subBucketBits
)

// histogram counts durations in buckets of fixed relative width, in constant memory.
type histogram struct {
	buckets [(64 - subBucketBits) * subBuckets]atomic.Uint64
	count   atomic.Uint64
}

func (h *histogram) add(d time.Duration) {
	h.buckets[bucket(uint64(max(d.Microseconds(), 0)))].Add(1)
	h.count.Add(1)
}

// quantileMillis returns the upper bound of the bucket that contains the q-quantile in milliseconds, or 0
// for an empty histogram.
func (h *histogram) quantileMillis(q float64) float64 {
	count := h.count.Load()
	if count == 0 {
		return 0
	}
	rank := max(uint64(math.Ceil(q*float64(count))), 1)
	var cumulative uint64
	for i := range h.buckets {
		if cumulative += h.buckets[i].Load(); cumulative >= rank {
			return float64(upperEdge(i)) / 1000
		}
	}
	return math.Inf(1)
}

// bucket returns the index of the bucket for a value in microseconds.
func bucket(v uint64) int {
	if v < subBuckets {
		return int(v)
	}
	shift := bits.Len64(v) - subBucketBits - 1
	return (shift+1)<<subBucketBits + int(v>>shift) - subBuckets
}

// upperEdge returns the largest value in microseconds that bucket i holds.
func upperEdge(i int) uint64 {
	if i < subBuckets {
		return uint64(i)
	}
	shift := i>>subBucketBits - 1
	return (uint64(i&(subBuckets-1)+subBuckets)+1)<<shift - 1
}

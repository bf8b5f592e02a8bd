package main

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// Sub-buckets per power of two: quantiles are at most 1/64 (1.6%) too high.
const (
	subBits    = 6
	subBuckets = 1 << subBits
)

// histogram counts durations in buckets of fixed relative width; its memory does not grow.
type histogram struct {
	buckets [(64 - subBits) * subBuckets]atomic.Uint64
	count   atomic.Uint64
}

func (h *histogram) add(d time.Duration) {
	h.buckets[bucket(uint64(max(d.Microseconds(), 0)))].Add(1)
	h.count.Add(1)
}

// quantile returns the upper edge of the bucket that holds the q-quantile in milliseconds, 0 when empty.
func (h *histogram) quantile(q float64) float64 {
	count := h.count.Load()
	if count == 0 {
		return 0
	}
	rank := max(uint64(math.Ceil(q*float64(count))), 1)
	var seen uint64
	for i := range h.buckets {
		if seen += h.buckets[i].Load(); seen >= rank {
			return float64(upperEdge(i)) / 1000
		}
	}
	return math.Inf(1)
}

func bucket(v uint64) int {
	if v < subBuckets {
		return int(v)
	}
	shift := bits.Len64(v) - subBits - 1
	return (shift+1)<<subBits + int(v>>shift) - subBuckets
}

func upperEdge(i int) uint64 {
	if i < subBuckets {
		return uint64(i)
	}
	shift := i>>subBits - 1
	return (uint64(i&(subBuckets-1)+subBuckets)+1)<<shift - 1
}

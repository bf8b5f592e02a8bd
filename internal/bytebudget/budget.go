// Package bytebudget bounds the memory that requests, or answers, of an instance occupy together.
package bytebudget

import (
	"sync/atomic"
	"time"

	"github.com/poplarwinch/poplarwinch"
)

const (
	// maxReclaims bounds the attempts to get memory back for one call of Take.
	maxReclaims = 8
	// reclaimPause is the time that a holder has to return its memory after Reclaim has ended it.
	reclaimPause = 5 * time.Millisecond
)

// Budget is a number of bytes that holders share. It is safe for concurrent use. The zero Budget has no bytes.
type Budget struct {
	// Reclaim ends a holder that returns its memory soon after, and reports whether there was one. It may be nil.
	Reclaim func() bool

	limit int64
	used  atomic.Int64
	whole *Budget
}

// New returns a budget of limit bytes.
func New(limit poplarwinch.Bytes) *Budget { return &Budget{limit: int64(limit)} }

// Part returns a budget of limit bytes, which count for b as well.
func (b *Budget) Part(limit poplarwinch.Bytes) *Budget {
	return &Budget{limit: int64(limit), whole: b}
}

// Take takes n bytes and reports true, or takes none and reports false if fewer are left and can't be reclaimed in time.
func (b *Budget) Take(n int64) bool {
	short := b.take(n)
	for tries := 0; short != nil && tries < maxReclaims && n <= short.limit && short.Reclaim != nil && short.Reclaim(); tries++ {
		if short = b.take(n); short != nil {
			time.Sleep(reclaimPause)
			short = b.take(n)
		}
	}
	return short == nil
}

// TryTake is Take without reclaiming.
func (b *Budget) TryTake(n int64) bool { return b.take(n) == nil }

// take takes n bytes, or returns the budget that has fewer left.
func (b *Budget) take(n int64) (short *Budget) {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return b
	}
	if b.whole == nil {
		return nil
	}
	if short = b.whole.take(n); short != nil {
		b.used.Add(-n)
	}
	return short
}

// Return gives back n bytes.
func (b *Budget) Return(n int64) {
	b.used.Add(-n)
	if b.whole != nil {
		b.whole.Return(n)
	}
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

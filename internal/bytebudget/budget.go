// Package bytebudget bounds the memory that requests, or answers, of an instance occupy together.
package bytebudget

import (
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch"
)

// Budget is a number of bytes that holders share. It is safe for concurrent use. The zero Budget has no bytes.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit poplarwinch.Bytes) *Budget { return &Budget{limit: int64(limit)} }

// Take takes n bytes and reports true, or takes none and reports false if fewer are left.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Return gives back n bytes.
func (b *Budget) Return(n int64) { b.used.Add(-n) }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

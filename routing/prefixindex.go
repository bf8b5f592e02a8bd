package routing

import (
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// prefixWays is the number of entries of a set.
	prefixWays = 8
	// prefixSets is the number of sets.
	prefixSets = 1 << 15
	// prefixUnit is the unit of the time of an entry.
	prefixUnit clock.Millis = 100
	// prefixTimeMask is the mask of an entry's time, which wraps around after 19 days.
	prefixTimeMask = 1<<24 - 1
	// prefixLifetime is the time after which blocks that were neither sent nor reported again are assumed to be evicted.
	prefixLifetime = 10 * clock.Minute
	// maxEventDelay is the assumed largest delay of a cache event. A removal that arrives within this time after the
	// block was sent again refers to the earlier copy.
	maxEventDelay = 2 * clock.Second
	// gapTrustWindow is the age up to which blocks are still assumed to be cached after a gap in an engine's events.
	// Older ones may have been removed without notice.
	gapTrustWindow = 30 * clock.Second
)

// PrefixIndex records approximately which prefix blocks were sent to or reported by which engines. It is a
// set-associative cache of at most 262,144 entries (2 MiB) in sets of eight; a full set replaces its oldest entry. All
// methods are lock-free.
//
// An entry packs 24 bits of the block hash, the engine's 16-bit number and a 24-bit time.
type PrefixIndex struct {
	clock *clock.Clock
	sets  [][prefixWays]atomic.Uint64
	// floors holds for each engine number the time before which its entries are invalid.
	floors []atomic.Int64
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(c *clock.Clock) *PrefixIndex {
	return &PrefixIndex{
		clock: c,
		sets:  make([][prefixWays]atomic.Uint64, prefixSets), floors: make([]atomic.Int64, 1<<16),
	}
}

// Stored records that u has the blocks, or will have them after the prompt that was sent to it.
func (x *PrefixIndex) Stored(u *upstream.Upstream, blocks []uint64) {
	now := x.clock.Now()
	for _, block := range blocks {
		x.store(entryKey(u, block), block, now)
	}
}

// Removed records that u evicted the blocks, unless they were stored so recently that the event refers to an earlier
// copy.
func (x *PrefixIndex) Removed(u *upstream.Upstream, blocks []uint64) {
	now := x.clock.Now()
	for _, block := range blocks {
		k := entryKey(u, block)
		set := &x.sets[block%prefixSets]
		for i := range set {
			if word := set[i].Load(); word>>24 == k && entryAge(word, now) > maxEventDelay {
				set[i].CompareAndSwap(word, 0)
			}
		}
	}
}

// Gap records that events of u were lost. It never makes entries valid again that were invalid before.
func (x *PrefixIndex) Gap(u *upstream.Upstream) {
	floor, next := &x.floors[u.Number], int64(x.clock.Now()-gapTrustWindow)
	for old := floor.Load(); old < next && !floor.CompareAndSwap(old, next); {
		old = floor.Load()
	}
}

// Forget records that u lost its cache, for example in a restart.
func (x *PrefixIndex) Forget(u *upstream.Upstream) {
	x.floors[u.Number].Store(int64(x.clock.Now() + 1))
}

// Cached returns how many of the leading blocks u is assumed to have. It uses binary search, because an engine that has
// a block has the blocks before it.
func (x *PrefixIndex) Cached(u *upstream.Upstream, blocks []uint64) int {
	if len(blocks) == 0 {
		return 0
	}
	now, floor := x.clock.Now(), clock.Millis(x.floors[u.Number].Load())
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if x.contains(u, blocks[middle-1], now, floor) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// prefixHolder returns the number of the engine that most recently stored the longest known prefix. It checks only a
// logarithmic number of prefix lengths, each half of the one before.
func (x *PrefixIndex) prefixHolder(blocks []uint64) (number uint16, ok bool) {
	now := x.clock.Now()
	for n := len(blocks); n > 0; n /= 2 {
		block, newest := blocks[n-1], prefixLifetime
		set := &x.sets[block%prefixSets]
		for i := range set {
			word := set[i].Load()
			if a := entryAge(word, now); word != 0 && word>>40 == block>>40 && a < newest {
				number, newest, ok = uint16(word>>24), a, true
			}
		}
		if ok {
			return number, true
		}
	}
	return 0, false
}

func (x *PrefixIndex) contains(u *upstream.Upstream, block uint64, now, floor clock.Millis) bool {
	k := entryKey(u, block)
	set := &x.sets[block%prefixSets]
	for i := range set {
		if word := set[i].Load(); word>>24 == k && word != 0 {
			a := entryAge(word, now)
			return a < prefixLifetime && now-a >= floor
		}
	}
	return false
}

func (x *PrefixIndex) store(k, block uint64, now clock.Millis) {
	set := &x.sets[block%prefixSets]
	next := k<<24 | uint64(now/prefixUnit)&prefixTimeMask
	victim, oldest := 0, clock.Millis(-1)
	for i := range set {
		word := set[i].Load()
		if word>>24 == k && word != 0 {
			set[i].Store(next)
			return
		}
		a := entryAge(word, now)
		if word == 0 {
			a = prefixTimeMask * prefixUnit
		}
		if a > oldest {
			victim, oldest = i, a
		}
	}
	set[victim].Store(next)
}

// entryKey packs the upper bits of the block hash, which the set number does not use, with the engine's number.
func entryKey(u *upstream.Upstream, block uint64) uint64 { return block>>40<<16 | uint64(u.Number) }

func entryAge(word uint64, now clock.Millis) clock.Millis {
	return clock.Millis((uint64(now/prefixUnit)-word)&prefixTimeMask) * prefixUnit
}

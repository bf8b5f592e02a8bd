package routing

import (
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	prefixWays = 8
	prefixSets = 1 << 15
	// Entries count in units of 100 ms modulo 2^24, which repeats after 19 days.
	prefixUnit clock.Millis = 100
	prefixTime              = 1<<24 - 1
	// Blocks that were neither sent nor reported for this long are assumed to be evicted.
	prefixLifetime = 10 * clock.Minute
	// Cache events are late: a removal that arrives within this span after the block was sent again is about the
	// earlier copy.
	eventLateness = 2 * clock.Second
	// After a gap in an engine's events, blocks older than this may have been removed unnoticed.
	gapTrust = 30 * clock.Second
)

// PrefixIndex remembers approximately which prefix blocks were sent to or reported by which engines. It holds at most
// 262,144 entries (2 MiB) in sets of eight; a full set replaces its oldest entry. All methods are lock-free.
//
// An entry packs 24 bits of the block hash, the engine's 16-bit number and a 24-bit time.
type PrefixIndex struct {
	clock *clock.Clock
	sets  [][prefixWays]atomic.Uint64
	// floors holds for each engine number the time before which its entries are void.
	floors []atomic.Int64
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(c *clock.Clock) *PrefixIndex {
	return &PrefixIndex{
		clock: c,
		sets:  make([][prefixWays]atomic.Uint64, prefixSets), floors: make([]atomic.Int64, 1<<16),
	}
}

// Stored records that u has the blocks or will have them once it ran the prompt that was sent to it.
func (x *PrefixIndex) Stored(u *upstream.Upstream, blocks []uint64) {
	now := x.clock.Now()
	for _, block := range blocks {
		x.store(key(u, block), block, now)
	}
}

// Removed records that u evicted the blocks, unless they were sent to it so recently that the event is older.
func (x *PrefixIndex) Removed(u *upstream.Upstream, blocks []uint64) {
	now := x.clock.Now()
	for _, block := range blocks {
		k := key(u, block)
		set := &x.sets[block%prefixSets]
		for i := range set {
			if word := set[i].Load(); word>>24 == k && age(word, now) > eventLateness {
				set[i].CompareAndSwap(word, 0)
			}
		}
	}
}

// Gap records that events of u were lost. What was forgotten before stays forgotten.
func (x *PrefixIndex) Gap(u *upstream.Upstream) {
	floor, next := &x.floors[u.Number], int64(x.clock.Now()-gapTrust)
	for old := floor.Load(); old < next && !floor.CompareAndSwap(old, next); {
		old = floor.Load()
	}
}

// Forget records that u has lost its cache, for example after a restart.
func (x *PrefixIndex) Forget(u *upstream.Upstream) {
	x.floors[u.Number].Store(int64(x.clock.Now() + 1))
}

// Cached returns how many of the leading blocks u is believed to have. It searches by bisection, because an engine
// that has a block has the blocks before it.
func (x *PrefixIndex) Cached(u *upstream.Upstream, blocks []uint64) int {
	if len(blocks) == 0 {
		return 0
	}
	now, floor := x.clock.Now(), clock.Millis(x.floors[u.Number].Load())
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if x.has(u, blocks[middle-1], now, floor) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// holder returns the number of the engine that stored the deepest known block last. It looks at few depths, each half
// of the one before.
func (x *PrefixIndex) holder(blocks []uint64) (number uint16, ok bool) {
	now := x.clock.Now()
	for n := len(blocks); n > 0; n /= 2 {
		block, newest := blocks[n-1], prefixLifetime
		set := &x.sets[block%prefixSets]
		for i := range set {
			word := set[i].Load()
			if a := age(word, now); word != 0 && word>>40 == block>>40 && a < newest {
				number, newest, ok = uint16(word>>24), a, true
			}
		}
		if ok {
			return number, true
		}
	}
	return 0, false
}

func (x *PrefixIndex) has(u *upstream.Upstream, block uint64, now, floor clock.Millis) bool {
	k := key(u, block)
	set := &x.sets[block%prefixSets]
	for i := range set {
		if word := set[i].Load(); word>>24 == k && word != 0 {
			a := age(word, now)
			return a < prefixLifetime && now-a >= floor
		}
	}
	return false
}

func (x *PrefixIndex) store(k, block uint64, now clock.Millis) {
	set := &x.sets[block%prefixSets]
	next := k<<24 | uint64(now/prefixUnit)&prefixTime
	victim, oldest := 0, clock.Millis(-1)
	for i := range set {
		word := set[i].Load()
		if word>>24 == k && word != 0 {
			set[i].Store(next)
			return
		}
		a := age(word, now)
		if word == 0 {
			a = prefixTime * prefixUnit
		}
		if a > oldest {
			victim, oldest = i, a
		}
	}
	set[victim].Store(next)
}

// key packs the upper bits of the block hash, which the set number does not use, with the engine's number.
func key(u *upstream.Upstream, block uint64) uint64 { return block>>40<<16 | uint64(u.Number) }

func age(word uint64, now clock.Millis) clock.Millis {
	return clock.Millis((uint64(now/prefixUnit)-word)&prefixTime) * prefixUnit
}

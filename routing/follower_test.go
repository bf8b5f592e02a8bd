package routing_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		// A fixed seed makes failures repeatable; other seeds are given on the command line.
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// engineCache simulates an engine's prefix cache. Its events are published after a delay, except for lost ones, which
// are never published.
type engineCache struct {
	mutex        sync.Mutex
	boot         int
	disconnects  int
	lastSequence uint64
	events       []routing.CacheEvent
	dueAt        []clock.Millis
	blocks       map[uint64]bool
	delay        clock.Millis
}

func (c *engineCache) change(removed, lost bool, block uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastSequence++
	c.blocks[block] = !removed
	if !lost {
		c.events = append(c.events, routing.CacheEvent{Sequence: c.lastSequence, Removed: removed, Blocks: []uint64{block}})
		c.dueAt = append(c.dueAt, clock.System().Now()+c.delay)
	}
}

func (c *engineCache) restart() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.boot, c.lastSequence, c.events, c.dueAt, c.blocks = c.boot+1, 0, nil, nil, map[uint64]bool{}
}

// stream passes the events that are due, every 10 ms. It runs 3 ms after the follower's intervals, so that one burst of
// events is never split between two of them.
func (c *engineCache) stream(ctx context.Context, after uint64, handle func(routing.CacheEvent)) error {
	system := clock.System()
	c.mutex.Lock()
	boot, disconnects := c.boot, c.disconnects
	c.mutex.Unlock()
	for {
		if err := system.Sleep(ctx, 13-system.Now()%10); err != nil {
			return err
		}
		c.mutex.Lock()
		if c.boot != boot || c.disconnects != disconnects {
			c.mutex.Unlock()
			return errors.New("the connection broke")
		}
		for i, e := range c.events {
			if e.Sequence > after && c.dueAt[i] <= system.Now() {
				after = e.Sequence
				handle(e)
			}
		}
		c.mutex.Unlock()
	}
}

// runFollower runs test while a follower follows n engines that share one cache. The follower learns of a restart up to
// a second late, when it reads the list of engines again.
func runFollower(t *testing.T, n int, c *engineCache, test func(x *routing.PrefixIndex, engines []*upstream.Upstream, open func() int)) {
	synctest.Test(t, func(*testing.T) {
		r := upstream.New()
		var listed []upstream.Listed
		for i := range n {
			listed = append(listed, upstream.Listed{ID: poplarwinch.UpstreamID(fmt.Sprint(i)), Kind: upstream.KindEngine, Ready: true})
		}
		r.Apply(listed)
		x := routing.NewPrefixIndex(clock.System())
		f := routing.NewFollower("entry-1", clock.System(), x)
		var mutex sync.Mutex
		open := 0
		count := func(change int) int {
			mutex.Lock()
			defer mutex.Unlock()
			open += change
			return open
		}
		f.Events = func(ctx context.Context, _ *upstream.Upstream, after uint64, handle func(routing.CacheEvent)) error {
			count(1)
			defer count(-1)
			return c.stream(ctx, after, handle)
		}
		f.Engines = func() []routing.Followed {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			var list []routing.Followed
			for _, u := range r.Snapshot().All() {
				list = append(list, routing.Followed{Upstream: u, BootID: fmt.Sprint("boot-", c.boot)})
			}
			return list
		}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { _ = f.Run(ctx) })
		time.Sleep(5 * time.Second)
		test(x, r.Snapshot().All(), func() int { return count(0) })
		cancel()
		loops.Wait()
		if count(0) != 0 {
			t.Error("a stream outlives the follower")
		}
	})
}

func block(i int) uint64 { return upstream.RendezvousWeight(uint64(i), 0x5bd1e995) }

// TestFollowerConverges guards against an index that stays wrong after delayed events, broken streams and engine
// restarts, which would send prompts to engines without their prefix.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 20).Draw(rt, "steps")
		c := &engineCache{blocks: map[uint64]bool{}, delay: clock.Millis(rapid.IntRange(0, 4_000).Draw(rt, "delay"))}
		runFollower(t, 1, c, func(x *routing.PrefixIndex, engines []*upstream.Upstream, _ func() int) {
			for _, step := range steps {
				switch b := block(step % 3); {
				case step == 9:
					c.restart()
				case step >= 7:
					c.mutex.Lock()
					c.disconnects++
					c.mutex.Unlock()
				default:
					c.change(c.blocks[b], false, b)
				}
				time.Sleep(3 * time.Second)
			}
			time.Sleep(30 * time.Second)
			for i := range 3 {
				if got := x.Cached(engines[0], []uint64{block(i)}) == 1; got != c.blocks[block(i)] {
					rt.Errorf("block %d: index says %v, the engine's cache %v", i, got, c.blocks[block(i)])
				}
			}
		})
	})
}

// TestFollowerGap guards against counting blocks as cached whose removal was lost, and against a gap that makes entries
// valid again which the index forgot after a restart.
func TestFollowerGap(t *testing.T) {
	c := &engineCache{blocks: map[uint64]bool{}}
	runFollower(t, 1, c, func(x *routing.PrefixIndex, engines []*upstream.Upstream, _ func() int) {
		cached := func(i int) bool { return x.Cached(engines[0], []uint64{block(i)}) == 1 }
		c.change(false, false, block(1))
		time.Sleep(40 * time.Second)
		c.change(true, true, block(1))
		time.Sleep(time.Second)
		if !cached(1) {
			t.Error("the removal was not lost")
		}
		c.change(false, false, block(2))
		time.Sleep(time.Second)
		if cached(1) || !cached(2) {
			t.Errorf("after a gap: old block %v, want false; new block %v, want true", cached(1), cached(2))
		}
		c.restart()
		c.change(false, true, block(3))
		c.change(false, false, block(4))
		time.Sleep(5 * time.Second)
		if cached(2) || !cached(4) {
			t.Errorf("after a restart: old block %v, want false; new block %v, want true", cached(2), cached(4))
		}
	})
}

// TestFollowerStreams guards against instances that open a stream to each engine of a large failure domain.
func TestFollowerStreams(t *testing.T) {
	runFollower(t, 100, &engineCache{}, func(_ *routing.PrefixIndex, _ []*upstream.Upstream, open func() int) {
		if n := open(); n != 32 {
			t.Errorf("%d open streams, want 32", n)
		}
	})
}

// TestFollowerReplay guards against counting a block as cached that was stored and removed before this instance started:
// the index ignores a removal right after the block was stored.
func TestFollowerReplay(t *testing.T) {
	c := &engineCache{lastSequence: 3, dueAt: make([]clock.Millis, 3), blocks: map[uint64]bool{}, events: []routing.CacheEvent{
		{Sequence: 1, Blocks: []uint64{block(1)}},
		{Sequence: 2, Blocks: []uint64{block(2)}},
		{Sequence: 3, Removed: true, Blocks: []uint64{block(1)}},
	}}
	runFollower(t, 1, c, func(x *routing.PrefixIndex, engines []*upstream.Upstream, _ func() int) {
		if x.Cached(engines[0], []uint64{block(1)}) != 0 || x.Cached(engines[0], []uint64{block(2)}) != 1 {
			t.Error("the index does not match the engine's cache after the start")
		}
	})
}

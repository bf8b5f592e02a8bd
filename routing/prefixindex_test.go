package routing

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Guards against counting blocks as cached that an engine has evicted, and against dropping a block because of an event
// about an earlier copy.
func TestPrefixIndexFollowsLateEvents(t *testing.T) {
	blocks := []uint64{11 << 40, 22 << 40, 33 << 40}
	for name, c := range map[string]struct {
		steps func(*PrefixIndex, *upstream.Upstream, *clock.Manual)
		want  int
	}{
		"sent":                     {func(*PrefixIndex, *upstream.Upstream, *clock.Manual) {}, 3},
		"last block removed":       {func(x *PrefixIndex, u *upstream.Upstream, m *clock.Manual) { m.Advance(5000); x.Removed(u, blocks[2:]) }, 2},
		"removal of an older copy": {func(x *PrefixIndex, u *upstream.Upstream, m *clock.Manual) { m.Advance(1000); x.Removed(u, blocks) }, 3},
		"gap soon after":           {func(x *PrefixIndex, u *upstream.Upstream, m *clock.Manual) { m.Advance(5000); x.Gap(u) }, 3},
		"gap long after":           {func(x *PrefixIndex, u *upstream.Upstream, m *clock.Manual) { m.Advance(60_000); x.Gap(u) }, 0},
		"sent again after a gap": {func(x *PrefixIndex, u *upstream.Upstream, m *clock.Manual) {
			m.Advance(60_000)
			x.Gap(u)
			x.Stored(u, blocks[:1])
		}, 1},
		"restart":          {func(x *PrefixIndex, u *upstream.Upstream, m *clock.Manual) { m.Advance(5000); x.Forget(u) }, 0},
		"never seen again": {func(_ *PrefixIndex, _ *upstream.Upstream, m *clock.Manual) { m.Advance(11 * clock.Minute) }, 0},
		"stored by other engines": {func(x *PrefixIndex, _ *upstream.Upstream, _ *clock.Manual) {
			x.Removed(&upstream.Upstream{Number: 9}, blocks)
		}, 3},
		"pushed out of a full set": {func(x *PrefixIndex, _ *upstream.Upstream, m *clock.Manual) { m.Advance(1000); fill(x, blocks[0]) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := clock.NewManual(1_000_000)
			x, u := NewPrefixIndex(m.Clock()), &upstream.Upstream{Number: 1}
			x.Stored(u, blocks)
			c.steps(x, u, m)
			if got := x.Cached(u, blocks); got != c.want {
				t.Fatalf("%d blocks count as cached, want %d", got, c.want)
			}
		})
	}
}

func fill(x *PrefixIndex, block uint64) {
	for i := range uint16(prefixWays) {
		x.Stored(&upstream.Upstream{Number: 100 + i}, []uint64{block})
	}
}

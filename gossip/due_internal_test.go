package gossip

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Guards against datagrams that are sent twice or never, and against followers that fall silent or go on after they have stopped following.
func TestDueTimes(t *testing.T) {
	const now, interval = 10_000, 30 * clock.Second
	for name, c := range map[string]struct {
		before         dueTimes
		sendsSummaries bool
		want           dueNow
		after          dueTimes
	}{
		"nothing":             {dueTimes{}, false, dueNow{}, dueTimes{}},
		"not yet":             {dueTimes{local: now + 1, remote: now + 1}, false, dueNow{}, dueTimes{local: now + 1, remote: now + 1}},
		"local":               {dueTimes{local: now}, false, dueNow{local: true}, dueTimes{local: now + heartbeatInterval}},
		"affected":            {dueTimes{affected: now}, false, dueNow{affected: true}, dueTimes{}},
		"remote has affected": {dueTimes{affected: now + 5, remote: now}, false, dueNow{remote: true}, dueTimes{remote: now + interval}},
		"tables":              {dueTimes{tables: now}, false, dueNow{tables: true}, dueTimes{}},
		"begins to follow":    {dueTimes{}, true, dueNow{}, dueTimes{followers: now + heartbeatInterval, summaries: now + summaryInterval}},
		"follows": {
			dueTimes{followers: now, summaries: now},
			true,
			dueNow{followers: true, summaries: true},
			dueTimes{followers: now + heartbeatInterval, summaries: now + summaryInterval},
		},
		"follows no longer": {dueTimes{followers: now, summaries: now}, false, dueNow{}, dueTimes{}},
	} {
		d := c.before
		if got := d.take(now, interval, c.sendsSummaries); got != c.want || d != c.after {
			t.Errorf("%s: got %+v and then %+v, want %+v and %+v", name, got, d, c.want, c.after)
		}
	}
	d := dueTimes{local: now + 40, summaries: now + 20}
	if wait := d.wait(now, heartbeatInterval); wait != 20 {
		t.Errorf("waits %d ms, want 20", wait)
	}
}

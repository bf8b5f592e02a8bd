package replica_test

import (
	"testing"
	"testing/synctest"

	"github.com/poplarwinch/poplarwinch/replica"
)

// Guards against an instance that gives up, at once, the rows of the seconds which a restored source has lost, because it learns of the
// restoration from a peer that has started since then and never knew them.
func TestRowsOfTheLostSecondsStayIfAPeerHasStartedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := passiveFixture(t)
		f.replica.Merge(complete(20, row("a", 1), row("b", 1), row("c", 19)))
		started := replica.New("servers", replica.WithMissingRowGrace())
		started.Merge(restored(5, row("a", 1), row("b", 1)))
		f.replica.Merge(started.Since(replica.Position{Version: 20}))
		f.expectKeys(t, "a", "b", "c")
	})
}

// Guards against an instance that follows the source and gives up such rows because a peer that has started since then knows more of the
// new era.
func TestRowsThatAreKeptStayIfAPeerHasStartedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.changes <- result{batch: replica.Batch{Version: 20, Rows: []replica.Row{row("c", 20)}}}
		f.expectKeys(t, "a", "b", "c")
		f.restore(restored(5, row("a", 1), row("b", 1)))
		f.expectKeys(t, "a", "b", "c")
		started := replica.New("servers", replica.WithMissingRowGrace())
		started.Merge(restored(6, row("a", 1), row("b", 1), row("d", 6)))
		known, _ := f.replica.Position()
		f.replica.Merge(started.Since(known))
		f.expectKeys(t, "a", "b", "c", "d")
	})
}

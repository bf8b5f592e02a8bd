package replica_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/replica"
)

// passiveFixture returns a running replica that gets its rows from others.
func passiveFixture(t *testing.T) *fixture {
	f := &fixture{replica: replica.New("servers", replica.WithMissingRowGrace(), replica.WithClock(clock.System()), replica.WithLog(&log.Logger{Handler: discard.New()}))}
	f.replica.SetFollowing(false)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.replica.Run(ctx)
	synctest.Wait()
	return f
}

// Guards against rows that an instance which doesn't follow the source holds back for much longer than the grace period.
func TestRowsHeldBackByAPassiveReplicaAreInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := passiveFixture(t)
		f.replica.Merge(complete(1, row("a", 1), row("b", 1)))
		f.replica.Merge(replica.Batch{Version: 20, Rows: []replica.Row{{Key: "a", Version: 20, Deleted: true}}})
		time.Sleep(time.Second)
		f.replica.Merge(restored(5, row("a", 1), row("b", 1)))
		f.expectKeys(t, "b")
		time.Sleep(6 * time.Second)
		f.expectKeys(t, "a", "b")
	})
}

// Guards against an instance that removes a row because a peer, which has seen its removal in an earlier era, holds it back.
func TestRowsHeldBackByAPeerStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, peer := newFixture(t, true), passiveFixture(t)
		follower.restore(restored(31, row("a", 31), row("b", 1)))
		peer.replica.Merge(complete(40, row("a", 40), row("b", 1)))
		peer.replica.Merge(replica.Batch{Version: 41, Rows: []replica.Row{{Key: "a", Version: 41, Deleted: true}}})
		peer.replica.Merge(replica.NewBatch(replica.Position{Era: 1, Version: 31}, []replica.Row{row("a", 31), row("b", 1)}, true))
		known, _ := follower.replica.Position()
		follower.replica.Merge(peer.replica.Since(known))
		follower.expectKeys(t, "a", "b")
	})
}

// Guards against a removed row that reappears with the copy because it was known, when it was removed, from an earlier era only.
func TestRemovedRowsOfEarlierErasAreHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.restore(restored(5, row("b", 1)))
		f.expectKeys(t, "a", "b")
		f.source.changes <- result{batch: replica.Batch{Era: 1, Version: 6, Rows: []replica.Row{{Key: "a", Version: 6, Deleted: true}}}}
		f.expectKeys(t, "b")
		again := restored(3, row("a", 1), row("b", 1))
		again.Era = 2
		f.source.setRead(func() (replica.Batch, error) { return again, nil })
		f.source.changes <- result{err: replica.ErrHistoryLost}
		f.expectKeys(t, "b")
	})
}

// Guards against changes that take effect late because the row was removed once and written again before the source was restored.
func TestRowsThatCameBackBeforeARestorationAreNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.changes <- result{batch: replica.Batch{Version: 20, Rows: []replica.Row{row("a", 20)}}}
		f.source.changes <- result{batch: replica.Batch{Version: 21, Rows: []replica.Row{{Key: "a", Version: 21, Deleted: true}}}}
		f.expectKeys(t, "b")
		f.source.changes <- result{batch: replica.Batch{Version: 22, Rows: []replica.Row{row("a", 22)}}}
		f.expectKeys(t, "a", "b")
		f.restore(restored(5, replica.Row{Key: "a", Value: []byte("a leaving"), Version: 5}, row("b", 1)))
		if got := string(f.replica.Since(replica.Position{}).Rows[0].Value); got != "a leaving" {
			t.Errorf("got %q, want what the restored source has", got)
		}
	})
}

// Guards against a row that is installed after the grace period although the source has removed it: the follower that saw this, in a whole
// read, held the row back itself.
func TestRemovalOfRowsHeldBackReachesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, peer := newFixture(t, true), passiveFixture(t)
		removal := replica.Batch{Version: 20, Rows: []replica.Row{{Key: "a", Version: 20, Deleted: true}}}
		follower.source.changes <- result{batch: removal}
		synctest.Wait()
		follower.restore(restored(5, row("a", 1), row("b", 1)))
		peer.replica.Merge(complete(1, row("a", 1), row("b", 1)))
		peer.replica.Merge(removal)
		peer.replica.Merge(restored(5, row("a", 1), row("b", 1))) // from a follower that has not seen the removal
		follower.expectKeys(t, "b")
		peer.expectKeys(t, "b")
		time.Sleep(time.Second)
		follower.restore(restored(7, row("b", 1)))
		time.Sleep(time.Second) // the follower waits before it reads again
		known, _ := peer.replica.Position()
		peer.replica.Merge(follower.replica.Since(known))
		time.Sleep(6 * time.Second)
		peer.replica.Recheck()
		time.Sleep(time.Second)
		peer.expectKeys(t, "b")
	})
}

// Guards against a row that peers keep for good although it did not reappear: they learn of it together with a later change.
func TestRowsThatDidNotComeBackAreRemovedWithLaterChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, peer := newFixture(t, true), passiveFixture(t)
		follower.restore(restored(5, row("b", 1)))
		peer.replica.Merge(follower.replica.Since(replica.Position{}))
		peer.expectKeys(t, "a", "b")
		time.Sleep(4 * time.Second)
		follower.expectKeys(t, "b")
		follower.source.changes <- result{batch: replica.Batch{Era: 1, Version: 6, Rows: []replica.Row{row("c", 6)}}}
		follower.expectKeys(t, "b", "c")
		known, _ := peer.replica.Position()
		peer.replica.Merge(follower.replica.Since(known))
		peer.expectKeys(t, "b", "c")
	})
}

// Guards against a row that an instance keeps for good because it has made as many decisions of its own as the follower that has removed
// the row.
func TestDecisionsOfTwoInstancesDoNotHideEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, peer := newFixture(t, true), passiveFixture(t)
		peer.replica.Merge(complete(1, row("a", 1), row("b", 1), row("c", 1)))
		peer.replica.Merge(replica.Batch{Version: 20, Rows: []replica.Row{{Key: "c", Version: 20, Deleted: true}}})
		follower.restore(restored(5, row("b", 1), row("c", 1)))
		peer.replica.Merge(follower.replica.Since(replica.Position{}))
		time.Sleep(6 * time.Second)
		peer.replica.Recheck()
		synctest.Wait()
		follower.expectKeys(t, "b", "c") // a did not reappear
		known, _ := peer.replica.Position()
		peer.replica.Merge(follower.replica.Since(known))
		peer.expectKeys(t, "b", "c")
	})
}

// Guards against a removed row that reappears from a peer which has missed the removal and keeps the row until it is written again.
func TestRowsKeptByAPeerStayRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, peer := newFixture(t, true), newFixture(t, true)
		f.source.changes <- result{batch: replica.Batch{Version: 20, Rows: []replica.Row{{Key: "a", Version: 20, Deleted: true}}}}
		f.expectKeys(t, "b")
		f.restore(restored(5, row("b", 1)))
		peer.restore(restored(6, row("b", 1), row("c", 6)))
		peer.expectKeys(t, "a", "b", "c")
		f.replica.Merge(peer.replica.Since(replica.Position{}))
		f.expectKeys(t, "b", "c")
	})
}

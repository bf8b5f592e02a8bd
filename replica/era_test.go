package replica_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch/replica"
)

// restored returns a whole read of a source that was restored from an older copy.
func restored(version replica.Version, rows ...replica.Row) replica.Batch {
	b := complete(version, rows...)
	b.Era = 1
	return b
}

// leavingSupersedes reports whether a row says that its server leaves, and the other one that it doesn't.
func leavingSupersedes(row, other replica.Row) bool {
	return strings.HasSuffix(string(row.Value), "leaving") && !strings.HasSuffix(string(other.Value), "leaving")
}

func (f *fixture) expectVersion(t *testing.T, key string, version replica.Version) {
	t.Helper()
	synctest.Wait()
	for _, r := range f.replica.Since(replica.Position{}).Rows {
		if r.Key == key {
			if r.Version != version {
				t.Errorf("row %s has version %d, want %d", key, r.Version, version)
			}
			return
		}
	}
	t.Errorf("row %s is missing", key)
}

// restore makes the source answer with history lost and then with the batch.
func (f *fixture) restore(b replica.Batch) {
	f.source.setRead(func() (replica.Batch, error) { return b, nil })
	f.source.changes <- result{err: replica.ErrHistoryLost}
	synctest.Wait()
}

// Guards against rows that are dropped as older, and changes that are never asked for, because the versions of a restored source are lower
// than those before.
func TestVersionsGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.changes <- result{batch: replica.Batch{Version: 20, Rows: []replica.Row{row("a", 19), row("c", 20)}}}
		f.expectKeys(t, "a", "b", "c")
		f.restore(restored(5, row("a", 4), row("b", 1), row("c", 5)))
		f.expectVersion(t, "a", 4)
		f.source.changes <- result{batch: replica.Batch{Era: 1, Version: 6, Rows: []replica.Row{row("d", 6), {Key: "b", Version: 6, Deleted: true}}}}
		f.expectKeys(t, "a", "c", "d")
		if p, _ := f.replica.Position(); p != (replica.Position{Era: 1, Version: 6}) {
			t.Errorf("got position %+v, want version 6 of era 1", p)
		}
	})
}

// Guards against changes that are missed because a restored source has given out the known versions again by the time it is asked.
func TestVersionsAreGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.setRead(func() (replica.Batch, error) {
			return restored(30, row("a", 1), row("b", 9), row("c", 10), row("d", 30)), nil
		})
		f.source.changes <- result{batch: replica.Batch{Era: 1, Version: 30, Rows: []replica.Row{row("d", 30)}}}
		f.expectKeys(t, "a", "b", "c", "d")
		f.expectVersion(t, "b", 9)
	})
}

// Guards against an answer of the source from before its restoration that arrives late and takes the replica back.
func TestLateAnswerOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.restore(restored(5, row("a", 4), row("b", 1)))
		f.source.changes <- result{batch: replica.Batch{Version: 40, Rows: []replica.Row{row("z", 40)}}}
		f.expectKeys(t, "a", "b")
		f.replica.Merge(complete(50, row("z", 50)))
		f.replica.Merge(replica.Batch{Version: 60, Rows: []replica.Row{row("y", 60)}})
		f.expectKeys(t, "a", "b")
	})
}

// Guards against an older copy that takes back what an instance already obeys: the later state counts until the source has it again or
// removes the row.
func TestLaterStateSurvivesTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true, replica.WithSupersedes(leavingSupersedes))
		state := func(value string, version replica.Version) replica.Row {
			return replica.Row{Key: "a", Value: []byte(value), Version: version}
		}
		value := func() string { return string(f.replica.Since(replica.Position{}).Rows[0].Value) }
		f.source.changes <- result{batch: replica.Batch{Version: 20, Rows: []replica.Row{state("a leaving", 20)}}}
		synctest.Wait()
		f.restore(restored(5, state("a", 4), row("b", 1)))
		if value() != "a leaving" {
			t.Errorf("got %q from the copy, want the later state", value())
		}
		f.source.changes <- result{batch: replica.Batch{Era: 1, Version: 6, Rows: []replica.Row{state("a still leaving", 6)}}}
		f.source.changes <- result{batch: replica.Batch{Era: 1, Version: 7, Rows: []replica.Row{state("a again", 7)}}}
		synctest.Wait()
		time.Sleep(time.Second)
		if value() != "a again" {
			t.Errorf("got %q, want what the source has written since then", value())
		}
	})
}

// Guards against requests to servers that are known to be gone, because a restored source has their rows from its copy.
func TestRemovedRowsAreHeldBack(t *testing.T) {
	for name, c := range map[string]struct {
		change replica.Row
		keys   []string
	}{
		"written again": {row("a", 6), []string{"a", "b", "c"}},
		"removed":       {replica.Row{Key: "a", Version: 6, Deleted: true}, []string{"b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, true)
				f.source.changes <- result{batch: replica.Batch{Version: 20, Rows: []replica.Row{{Key: "a", Version: 20, Deleted: true}}}}
				f.expectKeys(t, "b")
				f.restore(restored(5, row("a", 1), row("b", 1), row("c", 5)))
				f.expectKeys(t, "b", "c")
				time.Sleep(time.Second)
				f.source.setRead(func() (replica.Batch, error) { return restored(6, row("b", 1), row("c", 5)), nil })
				f.source.changes <- result{batch: replica.Batch{Era: 1, Version: 6, Rows: []replica.Row{c.change}}}
				f.expectKeys(t, c.keys...)
			})
		})
	}
	t.Run("still there after the grace period", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, true)
			f.source.changes <- result{batch: replica.Batch{Version: 20, Rows: []replica.Row{{Key: "a", Version: 20, Deleted: true}}}}
			f.expectKeys(t, "b")
			f.restore(restored(5, row("a", 1), row("b", 1)))
			time.Sleep(4 * time.Second)
			f.expectKeys(t, "b")
			time.Sleep(2 * time.Second)
			f.expectKeys(t, "a", "b")
		})
	})
}

// Guards against losing rows that were written in the seconds which a restored source has lost, before they are written again.
func TestRowsOfTheLostSecondsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.changes <- result{batch: replica.Batch{Version: 20, Rows: []replica.Row{row("c", 19), row("d", 20)}}}
		f.expectKeys(t, "a", "b", "c", "d")
		f.restore(restored(5, row("a", 1), row("b", 1)))
		f.expectKeys(t, "a", "b", "c", "d")
		f.source.changes <- result{batch: replica.Batch{Era: 1, Version: 6, Rows: []replica.Row{row("c", 6)}}}
		f.source.setRead(func() (replica.Batch, error) { return restored(6, row("a", 1), row("b", 1), row("c", 6)), nil })
		time.Sleep(4 * time.Second)
		f.expectKeys(t, "a", "b", "c")
	})
}

// Guards against a burst of calls to a source that has no history at all.
func TestHistoryIsAlwaysLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		began := time.Now()
		for range 20 {
			f.source.changes <- result{err: replica.ErrHistoryLost}
		}
		if took := time.Since(began); took < 5*time.Second {
			t.Errorf("asked 20 times within %s, want at most four times a second", took)
		}
		f.expectKeys(t, "a", "b")
	})
}

// Guards against peers that keep a row for good which did not reappear, because the source's version is the same before and after that
// was found out.
func TestPeersLearnOfRowsThatDidNotComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.setRead(func() (replica.Batch, error) { return complete(5, row("b", 1)), nil })
		f.source.changes <- result{err: errors.New("store unavailable")}
		time.Sleep(200 * time.Millisecond)
		peer := replica.New("servers")
		peer.Merge(f.replica.Since(replica.Position{}))
		time.Sleep(4 * time.Second)
		f.expectKeys(t, "b")
		known, _ := peer.Position()
		if own, _ := f.replica.ContentPosition(); own.Compare(known) <= 0 {
			t.Fatalf("the peer is at %+v and this replica at %+v, want a newer one", known, own)
		}
		peer.Merge(f.replica.Since(known))
		if rows := peer.Since(replica.Position{}).Rows; len(rows) != 1 || rows[0].Key != "b" {
			t.Errorf("the peer has %+v, want b only", rows)
		}
	})
}

// Guards against an instance that starts after a restoration and takes the copy's older state, although its peers know a later one.
func TestLaterStateIsTakenFromPeers(t *testing.T) {
	generation := func(rows []replica.Row) int64 { return int64(len(rows[0].Value)) }
	opts := []replica.Option{
		replica.WithGeneration(generation), replica.WithSupersedes(func(row, other replica.Row) bool { return len(row.Value) > len(other.Value) }),
	}
	value := func(text string, version replica.Version) replica.Row {
		return replica.Row{Key: "config", Value: []byte(text), Version: version}
	}
	old := replica.New("op", opts...)
	old.Merge(complete(20, value("three", 20)))
	old.Merge(restored(5, value("one", 4)))
	if _, carriedOver := old.Generation(); !carriedOver {
		t.Fatal("the replica has taken the copy's older state")
	}
	started := replica.New("op", opts...)
	started.Merge(restored(6, value("one", 4)))
	own, _ := started.Generation()
	if theirs, _ := old.Generation(); own >= theirs {
		t.Fatalf("generation %d after the start, %d at the peer, want less", own, theirs)
	}
	started.Merge(old.Since(replica.Position{}))
	if got := string(started.Since(replica.Position{}).Rows[0].Value); got != "three" {
		t.Errorf("got %q, want the later state of the peer", got)
	}
	started.Merge(replica.Batch{Era: 1, Version: 7, Rows: []replica.Row{value("three again", 7)}})
	if _, carriedOver := started.Generation(); carriedOver {
		t.Error("the replica keeps a row of an earlier era that was written again")
	}
}

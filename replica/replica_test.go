package replica_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/replica"
)

// source is a table source whose results a test sets.
type source struct {
	mutex   sync.Mutex
	read    func() (replica.Batch, error)
	changes chan result
	// changeCalls is the number of calls for changes.
	changeCalls int
}

// setRead replaces the function that reads the whole table.
func (s *source) setRead(read func() (replica.Batch, error)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.read = read
}

func (s *source) readAll(context.Context) (replica.Batch, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.read()
}

// calls returns the number of calls for changes.
func (s *source) calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changeCalls
}

func (s *source) awaitChanges(ctx context.Context, _ replica.Version) (replica.Batch, error) {
	s.mutex.Lock()
	s.changeCalls++
	s.mutex.Unlock()
	select {
	case a := <-s.changes:
		return a.batch, a.err
	case <-ctx.Done():
		return replica.Batch{}, ctx.Err()
	}
}

type result struct {
	batch replica.Batch
	err   error
}

// fixture is a running replica with its source and the rows it passed to WithOnChange.
type fixture struct {
	replica  *replica.Replica
	source   source
	notified [][]replica.Row
}

func newFixture(t *testing.T, keepMissing bool, more ...replica.Option) *fixture {
	f := &fixture{source: source{changes: make(chan result)}}
	opts := []replica.Option{
		replica.WithSource(f.source.readAll, f.source.awaitChanges), replica.WithClock(clock.System()),
		replica.WithLog(&log.Logger{Handler: discard.New()}),
		replica.WithOnChange(func(rows []replica.Row) {
			f.source.mutex.Lock()
			defer f.source.mutex.Unlock()
			f.notified = append(f.notified, rows)
		}),
	}
	if keepMissing {
		opts = append(opts, replica.WithMissingRowGrace())
	}
	f.replica = replica.New("servers", append(opts, more...)...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.source.setRead(func() (replica.Batch, error) { return complete(1, row("a", 1), row("b", 1)), nil })
	go f.replica.Run(ctx)
	synctest.Wait()
	return f
}

func row(key string, version replica.Version) replica.Row {
	return replica.Row{Key: key, Value: []byte(key), Version: version}
}

func complete(version replica.Version, rows ...replica.Row) replica.Batch {
	return replica.Batch{Rows: rows, Version: version, Complete: true}
}

func (f *fixture) keys() []string {
	var keys []string
	for _, r := range f.replica.Since(replica.Position{}).Rows {
		if !r.Held {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

func (f *fixture) expectKeys(t *testing.T, keys ...string) {
	t.Helper()
	synctest.Wait()
	if got := f.keys(); !slices.Equal(got, keys) {
		t.Errorf("got rows %v, want %v", got, keys)
	}
}

// Guards against missed additions and removals of rows while the source is followed.
func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.expectKeys(t, "a", "b")
		f.source.changes <- result{batch: replica.Batch{Version: 3, Rows: []replica.Row{
			row("c", 2), {Key: "a", Version: 3, Deleted: true},
		}}}
		f.expectKeys(t, "b", "c")
		if p, _ := f.replica.Position(); p.Version != 3 {
			t.Errorf("got version %d, want 3", p.Version)
		}
	})
}

// Guards against a list that becomes empty after the source lost its history: the rows must be read again and compared.
func TestHistoryLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		f.source.setRead(func() (replica.Batch, error) { return complete(9, row("b", 1), row("d", 8)), nil })
		f.source.changes <- result{err: replica.ErrHistoryLost}
		f.expectKeys(t, "b", "d")
		for _, rows := range f.notified {
			if len(rows) == 0 {
				t.Error("the list was empty temporarily")
			}
		}
	})
}

// Guards against removing servers whose rows expired during an outage of the store and reappear after it.
func TestMissingRowsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.setRead(func() (replica.Batch, error) { return complete(5, row("b", 1)), nil })
		f.source.changes <- result{err: errors.New("store unavailable")}
		time.Sleep(200 * time.Millisecond)
		f.expectKeys(t, "a", "b")
		f.source.setRead(func() (replica.Batch, error) { return complete(6, row("a", 6), row("b", 1)), nil })
		time.Sleep(10 * time.Second)
		f.expectKeys(t, "a", "b")
	})
}

// Guards against sending requests to servers that no longer exist: a row that doesn't reappear after the outage must
// be removed, and the removal must be visible to other instances.
func TestMissingRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.setRead(func() (replica.Batch, error) { return complete(5, row("b", 1)), nil })
		f.source.changes <- result{err: errors.New("store unavailable")}
		time.Sleep(4 * time.Second)
		f.expectKeys(t, "b")
		if b := f.replica.Since(replica.Position{Version: 1}); b.Complete || len(b.Rows) != 1 || !b.Rows[0].Deleted || b.Rows[0].Key != "a" {
			t.Errorf("got %+v, want the removal of a", b)
		}
	})
}

// Guards against servers that get requests for seconds after they have left, because rows are waited for that expired during an outage:
// meanwhile changes are followed, and a row that was there after the outage and is missing later has no grace period.
func TestRemovalsAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.source.setRead(func() (replica.Batch, error) { return complete(5, row("b", 1), row("c", 5), row("d", 5)), nil })
		f.source.changes <- result{err: errors.New("store unavailable")}
		time.Sleep(300 * time.Millisecond)
		f.expectKeys(t, "a", "b", "c", "d")
		select {
		case f.source.changes <- result{batch: replica.Batch{Version: 6, Rows: []replica.Row{{Key: "b", Version: 6, Deleted: true}}}}:
		case <-time.After(100 * time.Millisecond):
			t.Error("changes are not followed while rows are missing")
		}
		f.expectKeys(t, "a", "c", "d")
		f.source.setRead(func() (replica.Batch, error) { return complete(7, row("c", 5)), nil })
		time.Sleep(1200 * time.Millisecond)
		f.expectKeys(t, "a", "c")
		time.Sleep(1500 * time.Millisecond)
		f.expectKeys(t, "c")
	})
}

// Guards against waiting forever on an unresponsive connection: Recheck, called when a peer has a newer version, must end the wait
// and ask again. It must not read the whole table, in which it could not distinguish a row that was removed from one that expired while
// the source was unavailable and reappears: such rows stay for some time.
func TestRecheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		f.source.setRead(func() (replica.Batch, error) {
			t.Error("the whole table was read, although its history is there")
			return replica.Batch{}, errors.New("unexpected")
		})
		if n := f.source.calls(); n != 1 {
			t.Fatalf("%d calls for changes, want one that waits", n)
		}
		f.replica.Recheck()
		synctest.Wait()
		if n := f.source.calls(); n != 2 {
			t.Errorf("%d calls for changes after a recheck, want a second one", n)
		}
		f.source.changes <- result{batch: replica.Batch{Version: 4, Rows: []replica.Row{row("z", 4)}}}
		f.expectKeys(t, "a", "b", "z")
	})
}

// Guards against an instance that counts as unable to read the source, and is passed over as a follower, because its own recheck
// ended a read.
func TestRecheckIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		f.replica.Recheck()
		synctest.Wait()
		if f.replica.Failing() {
			t.Error("a recheck counts as a failed read")
		}
	})
}

// Guards against a peer's older copy that overwrites a newer one.
func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		f.replica.Merge(complete(1, row("old", 1)))
		f.expectKeys(t, "a", "b")
		f.replica.Merge(complete(2, row("new", 2)))
		f.expectKeys(t, "new")
		f.replica.Merge(replica.Batch{Version: 3, Rows: []replica.Row{row("more", 3)}})
		f.expectKeys(t, "more", "new")
	})
}

// Guards against instances that read the source although they should get changes from peers.
func TestSetFollowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		f.replica.SetFollowing(false)
		f.source.changes <- result{batch: replica.Batch{Version: 2}}
		synctest.Wait()
		select {
		case f.source.changes <- result{}:
			t.Error("an instance that does not follow the source read changes from it")
		default:
		}
		f.source.setRead(func() (replica.Batch, error) { return complete(7, row("later", 7)), nil })
		f.replica.SetFollowing(true)
		f.source.changes <- result{batch: replica.Batch{Version: 8, Rows: []replica.Row{row("c", 8)}}}
		f.expectKeys(t, "a", "b", "c")
	})
}

// Guards against instances taking turns trying to follow a source that is down: one that could not read it must count
// as failing for a while after it stopped following.
func TestFailureIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		f.source.setRead(func() (replica.Batch, error) { return replica.Batch{}, errors.New("down") })
		f.source.changes <- result{err: errors.New("down")}
		synctest.Wait()
		f.replica.SetFollowing(false)
		time.Sleep(2 * time.Second)
		if !f.replica.Failing() {
			t.Error("the failure was forgotten at once")
		}
		time.Sleep(2 * time.Second)
		if f.replica.Failing() {
			t.Error("the failure was never forgotten")
		}
	})
}

// Guards against an older list that is installed over a newer one: two batches that arrive at nearly the same time, one from the
// source and one from a peer, are passed on in the order of their versions.
func TestChangesAreInstalledInOrder(t *testing.T) {
	var mutex sync.Mutex
	var installed replica.Version
	begun := make(chan struct{})
	r := replica.New("servers", replica.WithOnChange(func(rows []replica.Row) {
		if rows[0].Version == 1 {
			close(begun)
			time.Sleep(50 * time.Millisecond)
		}
		mutex.Lock()
		defer mutex.Unlock()
		installed = rows[0].Version
	}))
	merge := func(version replica.Version) {
		r.Merge(replica.Batch{Rows: []replica.Row{{Key: "e1", Version: version}}, Version: version, Complete: true})
	}
	var merges sync.WaitGroup
	merges.Go(func() { merge(1) })
	<-begun
	merges.Go(func() { merge(2) })
	merges.Wait()
	if installed != 2 {
		t.Errorf("the rows of version %d are installed, want those of version 2", installed)
	}
}

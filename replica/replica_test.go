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

func (s *source) awaitChanges(ctx context.Context, _ replica.Version) (replica.Batch, error) {
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

func newFixture(t *testing.T, keepLapsed bool) *fixture {
	w := &fixture{source: source{changes: make(chan result)}}
	opts := []replica.Option{
		replica.WithSource(w.source.readAll, w.source.awaitChanges), replica.WithClock(clock.System()),
		replica.WithLog(&log.Logger{Handler: discard.New()}),
		replica.WithOnChange(func(rows []replica.Row) {
			w.source.mutex.Lock()
			defer w.source.mutex.Unlock()
			w.notified = append(w.notified, rows)
		}),
	}
	if keepLapsed {
		opts = append(opts, replica.WithMissingRowGrace())
	}
	w.replica = replica.New("servers", opts...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w.source.setRead(func() (replica.Batch, error) { return complete(1, row("a", 1), row("b", 1)), nil })
	go w.replica.Run(ctx)
	synctest.Wait()
	return w
}

func row(key string, version replica.Version) replica.Row {
	return replica.Row{Key: key, Value: []byte(key), Version: version}
}

func complete(version replica.Version, rows ...replica.Row) replica.Batch {
	return replica.Batch{Rows: rows, Version: version, Complete: true}
}

func (w *fixture) keys() []string {
	var keys []string
	for _, r := range w.replica.Since(0).Rows {
		keys = append(keys, r.Key)
	}
	return keys
}

func (w *fixture) expectKeys(t *testing.T, keys ...string) {
	t.Helper()
	synctest.Wait()
	if got := w.keys(); !slices.Equal(got, keys) {
		t.Errorf("got rows %v, want %v", got, keys)
	}
}

// Guards against missed additions and removals of rows while the source is followed.
func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, true)
		w.expectKeys(t, "a", "b")
		w.source.changes <- result{batch: replica.Batch{Version: 3, Rows: []replica.Row{
			row("c", 2), {Key: "a", Version: 3, Deleted: true},
		}}}
		w.expectKeys(t, "b", "c")
		if v, _ := w.replica.Version(); v != 3 {
			t.Errorf("got version %d, want 3", v)
		}
	})
}

// Guards against a list that becomes empty after the source lost its history: the rows must be read again and compared.
func TestHistoryLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, false)
		w.source.setRead(func() (replica.Batch, error) { return complete(9, row("b", 1), row("d", 8)), nil })
		w.source.changes <- result{err: replica.ErrHistoryLost}
		w.expectKeys(t, "b", "d")
		for _, rows := range w.notified {
			if len(rows) == 0 {
				t.Error("the list was empty temporarily")
			}
		}
	})
}

// Guards against removing servers whose rows expired during an outage of the store and come back after it.
func TestMissingRowsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, true)
		w.source.setRead(func() (replica.Batch, error) { return complete(5, row("b", 1)), nil })
		w.source.changes <- result{err: errors.New("store unavailable")}
		time.Sleep(200 * time.Millisecond)
		w.expectKeys(t, "a", "b")
		w.source.setRead(func() (replica.Batch, error) { return complete(6, row("a", 6), row("b", 1)), nil })
		time.Sleep(10 * time.Second)
		w.expectKeys(t, "a", "b")
	})
}

// Guards against sending requests to servers that no longer exist: a row that doesn't come back after the outage must be removed,
// and the removal must be visible to other instances.
func TestMissingRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, true)
		w.source.setRead(func() (replica.Batch, error) { return complete(5, row("b", 1)), nil })
		w.source.changes <- result{err: errors.New("store unavailable")}
		time.Sleep(4 * time.Second)
		w.expectKeys(t, "b")
		if b := w.replica.Since(1); b.Complete || len(b.Rows) != 1 || !b.Rows[0].Deleted || b.Rows[0].Key != "a" {
			t.Errorf("got %+v, want the removal of a", b)
		}
	})
}

// Guards against waiting forever on an unresponsive connection: Recheck, called when a peer has a newer version, must end the
// wait.
func TestSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, false)
		w.source.setRead(func() (replica.Batch, error) { return complete(4, row("z", 4)), nil })
		w.replica.Recheck()
		time.Sleep(time.Second)
		w.expectKeys(t, "z")
	})
}

// Guards against a peer's older copy that overwrites a newer one.
func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, false)
		w.replica.Merge(complete(1, row("old", 1)))
		w.expectKeys(t, "a", "b")
		w.replica.Merge(complete(2, row("new", 2)))
		w.expectKeys(t, "new")
		w.replica.Merge(replica.Batch{Version: 3, Rows: []replica.Row{row("more", 3)}})
		w.expectKeys(t, "more", "new")
	})
}

// Guards against instances that read the source although they should get changes from peers.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, false)
		w.replica.SetFollowing(false)
		w.source.changes <- result{batch: replica.Batch{Version: 2}}
		synctest.Wait()
		select {
		case w.source.changes <- result{}:
			t.Error("an instance that does not follow the source read changes from it")
		default:
		}
		w.source.setRead(func() (replica.Batch, error) { return complete(7, row("later", 7)), nil })
		w.replica.SetFollowing(true)
		w.source.changes <- result{batch: replica.Batch{Version: 8, Rows: []replica.Row{row("c", 8)}}}
		w.expectKeys(t, "a", "b", "c")
	})
}

// Guards against instances taking turns trying to follow a source that is down: one that could not read it must count as failing
// for a while after it stopped following.
func TestFailureIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, false)
		w.source.setRead(func() (replica.Batch, error) { return replica.Batch{}, errors.New("down") })
		w.source.changes <- result{err: errors.New("down")}
		synctest.Wait()
		w.replica.SetFollowing(false)
		time.Sleep(2 * time.Second)
		if !w.replica.Failing() {
			t.Error("the failure was forgotten at once")
		}
		time.Sleep(2 * time.Second)
		if w.replica.Failing() {
			t.Error("the failure was never forgotten")
		}
	})
}

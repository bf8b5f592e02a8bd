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

// source is a table whose answers a test sets.
type source struct {
	mutex   sync.Mutex
	read    func() (replica.Batch, error)
	changes chan answer
}

// set replaces what reading the whole table returns.
func (s *source) set(read func() (replica.Batch, error)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.read = read
}

func (s *source) readAll(context.Context) (replica.Batch, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.read()
}

func (s *source) await(ctx context.Context, _ replica.Version) (replica.Batch, error) {
	select {
	case a := <-s.changes:
		return a.batch, a.err
	case <-ctx.Done():
		return replica.Batch{}, ctx.Err()
	}
}

type answer struct {
	batch replica.Batch
	err   error
}

// world is a replica that follows a source.
type world struct {
	replica *replica.Replica
	source  source
	seen    [][]replica.Row
}

func newWorld(t *testing.T, keepLapsed bool) *world {
	w := &world{source: source{changes: make(chan answer)}}
	opts := []replica.Option{
		replica.WithSource(w.source.readAll, w.source.await), replica.WithClock(clock.System()),
		replica.WithLog(&log.Logger{Handler: discard.New()}),
		replica.WithChanged(func(rows []replica.Row) {
			w.source.mutex.Lock()
			defer w.source.mutex.Unlock()
			w.seen = append(w.seen, rows)
		}),
	}
	if keepLapsed {
		opts = append(opts, replica.WithLapsing())
	}
	w.replica = replica.New("servers", opts...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w.source.set(func() (replica.Batch, error) { return complete(1, row("a", 1), row("b", 1)), nil })
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

func (w *world) keys() []string {
	var keys []string
	for _, r := range w.replica.Since(0).Rows {
		keys = append(keys, r.Key)
	}
	return keys
}

func (w *world) expect(t *testing.T, keys ...string) {
	t.Helper()
	synctest.Wait()
	if got := w.keys(); !slices.Equal(got, keys) {
		t.Errorf("got rows %v, want %v", got, keys)
	}
}

// Guards against lost changes: rows that appear, change and vanish while the source is followed.
func TestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true)
		w.expect(t, "a", "b")
		w.source.changes <- answer{batch: replica.Batch{Version: 3, Rows: []replica.Row{
			row("c", 2), {Key: "a", Version: 3, Deleted: true},
		}}}
		w.expect(t, "b", "c")
		if v, _ := w.replica.Version(); v != 3 {
			t.Errorf("got version %d, want 3", v)
		}
	})
}

// Guards against an empty list after the source forgot its history: the rows are read anew and compared.
func TestHistoryLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, false)
		w.source.set(func() (replica.Batch, error) { return complete(9, row("b", 1), row("d", 8)), nil })
		w.source.changes <- answer{err: replica.ErrHistoryLost}
		w.expect(t, "b", "d")
		for _, rows := range w.seen {
			if len(rows) == 0 {
				t.Error("the list was empty for a moment")
			}
		}
	})
}

// Guards against servers that are dropped because their entries lapsed while the store was away.
func TestLapsedRowsComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true)
		w.source.set(func() (replica.Batch, error) { return complete(5, row("b", 1)), nil })
		w.source.changes <- answer{err: errors.New("store away")}
		time.Sleep(200 * time.Millisecond)
		w.expect(t, "a", "b")
		w.source.set(func() (replica.Batch, error) { return complete(6, row("a", 6), row("b", 1)), nil })
		time.Sleep(10 * time.Second)
		w.expect(t, "a", "b")
	})
}

// Guards against work for servers that are gone: an entry that stays away after the source's return is dropped, and other
// instances can learn that.
func TestLapsedRowsGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true)
		w.source.set(func() (replica.Batch, error) { return complete(5, row("b", 1)), nil })
		w.source.changes <- answer{err: errors.New("store away")}
		time.Sleep(4 * time.Second)
		w.expect(t, "b")
		if b := w.replica.Since(1); b.Complete || len(b.Rows) != 1 || !b.Rows[0].Deleted || b.Rows[0].Key != "a" {
			t.Errorf("got %+v, want the removal of a", b)
		}
	})
}

// Guards against a connection that is silent for good: a peer that knows more ends the wait.
func TestSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, false)
		w.source.set(func() (replica.Batch, error) { return complete(4, row("z", 4)), nil })
		w.replica.Suspect()
		time.Sleep(time.Second)
		w.expect(t, "z")
	})
}

// Guards against a peer's older copy that undoes a newer one.
func TestOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, false)
		w.replica.Offer(complete(1, row("old", 1)))
		w.expect(t, "a", "b")
		w.replica.Offer(complete(2, row("new", 2)))
		w.expect(t, "new")
		w.replica.Offer(replica.Batch{Version: 3, Rows: []replica.Row{row("more", 3)}})
		w.expect(t, "more", "new")
	})
}

// Guards against instances that read the tables although others do it for them.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, false)
		w.replica.Follow(false)
		w.source.changes <- answer{batch: replica.Batch{Version: 2}}
		synctest.Wait()
		select {
		case w.source.changes <- answer{}:
			t.Error("an instance that does not follow asked for changes")
		default:
		}
		w.source.set(func() (replica.Batch, error) { return complete(7, row("later", 7)), nil })
		w.replica.Follow(true)
		w.source.changes <- answer{batch: replica.Batch{Version: 8, Rows: []replica.Row{row("c", 8)}}}
		w.expect(t, "a", "b", "c")
	})
}

// Guards against instances that try a source by turns while it is down: one that could not read it counts as failing for a
// while after it stopped to follow.
func TestFailureIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, false)
		w.source.set(func() (replica.Batch, error) { return replica.Batch{}, errors.New("down") })
		w.source.changes <- answer{err: errors.New("down")}
		synctest.Wait()
		w.replica.Follow(false)
		time.Sleep(2 * time.Second)
		if !w.replica.Failing() {
			t.Error("the failure was forgotten at once")
		}
		time.Sleep(2 * time.Second)
		if w.replica.Failing() {
			t.Error("the failure is remembered for good")
		}
	})
}

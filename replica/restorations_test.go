package replica_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/replica"
)

const (
	// configKey is the row whose value is a number that only rises.
	configKey = "config"
	// maxCopyAge and maxRewrite bound the age of copies and the time after a restoration in which lost rows are written again.
	maxCopyAge = 9 * time.Second
	maxRewrite = 2 * time.Second
	// settledWrite is the age from which a write is known to all replicas that had the row before.
	settledWrite = 5 * time.Second
)

var (
	errReset       = errors.New("connection reset")
	errUnavailable = errors.New("source unavailable")
)

// table is the content of a restorable at a moment.
type table struct {
	at      time.Time
	version replica.Version
	rows    map[string]replica.Row
}

func (c table) clone() table {
	c.at, c.rows = time.Now(), maps.Clone(c.rows)
	return c
}

// restorable is a source that is restored from older copies of itself.
type restorable struct {
	mutex   sync.Mutex
	era     replica.Era
	content table
	// oldest is the version after which the history is complete.
	oldest  replica.Version
	copies  []table
	down    bool
	changed chan struct{}
	// written has what was last written to each row; empty for rows that were removed.
	written map[string]string
	removed map[string]bool
	// writtenAt is the time of that write.
	writtenAt map[string]time.Time
	// delay is the longest time for which an answer is on its way.
	delay  time.Duration
	random *rand.Rand
}

func newRestorable(random *rand.Rand, delay time.Duration) *restorable {
	return &restorable{
		content: table{rows: map[string]replica.Row{}}, changed: make(chan struct{}), written: map[string]string{}, removed: map[string]bool{}, writtenAt: map[string]time.Time{},
		delay: delay, random: random,
	}
}

// notify wakes those who wait for a change. The caller holds the lock.
func (s *restorable) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row; an empty value removes it. The caller holds the lock.
func (s *restorable) put(key, value string) {
	s.content.version++
	s.content.rows[key] = replica.Row{Key: key, Value: []byte(value), Version: s.content.version, Deleted: value == ""}
	s.notify()
}

func (s *restorable) write(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if old := s.written[key]; value == "" {
		s.removed[old] = true
	}
	s.written[key], s.writtenAt[key] = value, time.Now()
	s.put(key, value)
}

// isRemoved reports whether a row was removed and not written since.
func (s *restorable) isRemoved(key string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written[key] == ""
}

// rewrite writes a row again that was lost.
func (s *restorable) rewrite(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if row, ok := s.content.rows[key]; string(row.Value) != s.written[key] || !ok && s.written[key] != "" {
		s.put(key, s.written[key])
	}
}

func (s *restorable) copyContent() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.copies = append(s.copies, s.content.clone())
}

// restore brings an older copy back and has the lost rows written again later.
func (s *restorable) restore(age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	chosen := s.copies[0]
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			chosen = c
		}
	}
	s.era++
	s.content = chosen.clone()
	s.oldest = chosen.version
	s.notify()
	for key := range s.written {
		time.AfterFunc(500*time.Millisecond+time.Duration(s.random.Int64N(int64(maxRewrite-500*time.Millisecond))), func() { s.rewrite(key) })
	}
}

func (s *restorable) set(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	s.notify()
}

// batch returns the rows after a version. The caller holds the lock.
func (s *restorable) batch(after replica.Version, complete bool) replica.Batch {
	b := replica.Batch{Era: s.era, Version: s.content.version, Complete: complete}
	for _, row := range s.content.rows {
		if row.Version > after && (!complete || !row.Deleted) {
			b.Rows = append(b.Rows, row)
		}
	}
	return b
}

// travel is the time that an answer takes. The caller holds the lock.
func (s *restorable) travel() time.Duration {
	return time.Duration(s.random.Int64N(int64(s.delay)))
}

func (s *restorable) read(context.Context) (replica.Batch, error) {
	s.mutex.Lock()
	b, down, wait := s.batch(0, true), s.down, s.travel()
	s.mutex.Unlock()
	time.Sleep(wait)
	if down {
		return replica.Batch{}, errUnavailable
	}
	return b, nil
}

func (s *restorable) changes(ctx context.Context, after replica.Version) (replica.Batch, error) {
	due := time.After(3 * time.Second)
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	for timedOut := false; ; {
		s.mutex.Lock()
		changed, down, gone, reset := s.changed, s.down, after < s.oldest || after > s.content.version, s.era != era
		b, wait := s.batch(after, false), s.travel()
		s.mutex.Unlock()
		switch {
		case reset, down:
			return replica.Batch{}, errReset
		case gone:
			time.Sleep(wait)
			return replica.Batch{}, replica.ErrHistoryLost
		case len(b.Rows) > 0 || timedOut:
			time.Sleep(wait)
			return b, ctx.Err()
		}
		select {
		case <-changed:
		case <-due:
			timedOut = true
		case <-ctx.Done():
			return replica.Batch{}, ctx.Err()
		}
	}
}

// watched is a replica whose rows are checked at each change.
type watched struct {
	*replica.Replica
	t      *testing.T
	name   string
	source *restorable
	config int
	// follows is set for replicas that follow the source. Others may get rows from a follower in its grace period that they had removed
	// with another one.
	follows bool
	// gone has the removed values that the replica was seen without, after it had them.
	seen, gone map[string]bool
	// keys are those of the present rows.
	keys map[string]bool
	// lasting reports whether a row is a lasting one.
	lasting func(row replica.Row) bool
}

func watch(t *testing.T, name string, source *restorable, lasting func(row replica.Row) bool) *watched {
	w := &watched{t: t, name: name, source: source, seen: map[string]bool{}, gone: map[string]bool{}, lasting: lasting}
	number := func(row replica.Row) int {
		n, err := strconv.Atoi(string(row.Value))
		if err != nil || row.Key != configKey {
			return 0
		}
		return n
	}
	w.Replica = replica.New(
		"table", replica.WithLasting(lasting), replica.WithSource(source.read, source.changes), replica.WithClock(clock.System()), replica.WithMissingRowGrace(),
		replica.WithLog(&log.Logger{Handler: discard.New()}), replica.WithOnChange(w.check),
		replica.WithSupersedes(func(row, other replica.Row) bool { return number(row) > number(other) }),
	)
	return w
}

// check finds configurations that go back and removed rows that reappear.
func (w *watched) check(rows []replica.Row) {
	values, keys := map[string]bool{}, map[string]bool{}
	for _, row := range rows {
		value := string(row.Value)
		values[value], keys[row.Key] = true, true
		if row.Key == configKey {
			n, _ := strconv.Atoi(value) // it is a number
			if n < w.config {
				w.t.Errorf("%s goes back from configuration %d to %d", w.name, w.config, n)
			}
			w.config = n
		}
		if w.follows && w.gone[value] && !w.keys[row.Key] && w.source.isRemoved(row.Key) {
			w.t.Errorf("%s has %s again, which was removed", w.name, value)
		}
	}
	w.source.mutex.Lock()
	defer w.source.mutex.Unlock()
	for key := range w.keys {
		if w.lasting(replica.Row{Key: key}) && !keys[key] && w.source.written[key] != "" && time.Since(w.source.writtenAt[key]) > settledWrite {
			w.t.Errorf("%s has lost %s, which was written %v before and not removed", w.name, key, time.Since(w.source.writtenAt[key]))
		}
	}
	for value := range w.seen {
		if w.source.removed[value] && !keys[value[:1]] {
			w.gone[value] = true
		}
	}
	// Of a row that was written again, only the new values count.
	maps.DeleteFunc(w.gone, func(value string, _ bool) bool { return keys[value[:1]] })
	maps.DeleteFunc(w.seen, func(value string, _ bool) bool { return keys[value[:1]] })
	maps.Copy(w.seen, values)
	w.keys = keys
}

// expectEqual fails the test unless the replica has the source's rows.
func (w *watched) expectEqual() {
	w.source.mutex.Lock()
	defer w.source.mutex.Unlock()
	rows := map[string]string{}
	for _, row := range w.Since(replica.Position{}).Rows {
		if !row.Held && !row.Deleted {
			rows[row.Key] = string(row.Value)
		}
	}
	want := maps.Clone(w.source.written)
	maps.DeleteFunc(want, func(_, value string) bool { return value == "" })
	if !maps.Equal(rows, want) {
		position, _ := w.Position()
		w.t.Errorf("%s has %v at %+v, want %v", w.name, rows, position, want)
	}
}

// disturb changes, restores and fails the source at random for some time.
func (s *restorable) disturb(random *rand.Rand, length time.Duration) {
	config, values, downUntil := 0, 0, time.Time{}
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
		key := string(rune('a' + random.IntN(6)))
		switch x := random.Float64(); {
		case x < 0.2:
			config++
			s.write(configKey, strconv.Itoa(config))
		case x < 0.5:
			values++
			s.write(key, fmt.Sprintf("%s%d", key, values))
		case x < 0.65:
			if s.written[key] != "" {
				s.write(key, "")
			}
		case x < 0.73:
			s.set(func() { s.oldest = s.content.version })
		case x < 0.78:
			downUntil = time.Now().Add(time.Duration(random.Int64N(int64(2 * time.Second))))
			s.set(func() { s.down = true })
		case x < 0.85:
			s.restore(time.Duration(random.Int64N(int64(maxCopyAge))))
		default:
			s.copyContent()
		}
		if s.down && time.Now().After(downUntil) {
			s.set(func() { s.down = false })
		}
	}
	s.set(func() { s.down = false })
}

// Guards against replicas that end up with other rows than the source, take back a configuration or show removed rows again, whatever the
// order of restorations, losses of history, outages, late answers and exchanges with peers.
func TestReplicasFollowARestoredSource(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { followRestored(t, seed, 15*time.Second, func(replica.Row) bool { return false }) })
		})
		t.Run(fmt.Sprintf("seed %d with lasting rows", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				followRestored(t, seed, 75*time.Second, func(row replica.Row) bool { return row.Key < "d" })
			})
		})
	}
}

// followRestored plays a seed; calmTime is the time after the last disturbance in which the replicas have to agree with the source.
func followRestored(t *testing.T, seed uint64, calmTime time.Duration, lasting func(row replica.Row) bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	source := newRestorable(rand.New(rand.NewPCG(seed, 2)), []time.Duration{time.Millisecond, 300 * time.Millisecond}[seed%2])
	source.write(configKey, "0")
	source.copyContent()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	list := []*watched{watch(t, "first", source, lasting), watch(t, "second", source, lasting), watch(t, "passive", source, lasting)}
	list[0].follows, list[1].follows = true, true
	list[2].SetFollowing(false)
	var running sync.WaitGroup
	for _, w := range list {
		running.Go(func() { w.Run(ctx) })
	}
	chosen := rand.New(rand.NewPCG(seed, 3))
	exchange := func() {
		from, to := list[chosen.IntN(len(list))], list[chosen.IntN(len(list))]
		after, loaded := to.Position()
		if theirs, ok := from.Position(); from != to && ok && (!loaded || after.IsBehind(theirs)) {
			to.Merge(from.Since(after))
		}
	}
	disturbed := make(chan struct{})
	go func() {
		defer close(disturbed)
		source.disturb(random, 30*time.Second)
	}()
	exchanges := func(until <-chan struct{}) {
		for {
			select {
			case <-until:
				return
			case <-time.After(200 * time.Millisecond):
				exchange()
			}
		}
	}
	exchanges(disturbed)
	calm, stop := context.WithTimeout(ctx, calmTime)
	defer stop()
	exchanges(calm.Done())
	synctest.Wait()
	for _, w := range list {
		w.expectEqual()
	}
	cancel()
	running.Wait()
}

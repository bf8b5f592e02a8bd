package replica

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
)

// ErrHistoryLost means that the source no longer has the changes after the requested version.
var ErrHistoryLost = errors.New("history is no longer available")

const (
	// retryMin and retryMax bound the pause after a failed read.
	retryMin clock.Millis = 100
	retryMax clock.Millis = 400
	// failureMemory is the time for which a process that no longer follows the source counts as failing. Without it all processes
	// would try a source that is down by turns.
	failureMemory = 3 * clock.Second
	// returnGrace is the time after the source's return in which rows that lapsed during its absence come back.
	returnGrace clock.Millis = 2200
)

// Replica follows one table. It is safe for concurrent use.
type Replica struct {
	name       string
	read       func(ctx context.Context) (Batch, error)
	changes    func(ctx context.Context, after Version) (Batch, error)
	changed    func(rows []Row)
	keepLapsed bool
	clock      *clock.Clock
	log        log.Interface

	mutex   sync.Mutex
	rows    map[string]Row
	version Version
	// content is the newest version of a row that was seen.
	content Version
	loaded  bool
	// failing says that the last read of the source failed, at failedAt.
	failing  bool
	failedAt clock.Millis
	// deleted has the rows that were removed after floor, so that changes since a version from floor on can be told.
	deleted map[string]Row
	floor   Version
	// idle says that changes come from other processes.
	idle bool
	// lapsed has the time at which a kept row was first missing.
	lapsed map[string]clock.Millis
	wake   chan struct{}
}

// New returns an empty replica of the table with the name; WithSource is required.
func New(name string, opts ...Option) *Replica {
	r := &Replica{
		name: name, clock: clock.Monotonic(), log: log.Log, changed: func([]Row) {},
		rows: map[string]Row{}, lapsed: map[string]clock.Millis{}, deleted: map[string]Row{}, wake: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Version returns the version up to which changes are known, and whether the table was ever read.
func (r *Replica) Version() (Version, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.version, r.loaded
}

// Content returns the version of the newest change that is known, and whether the table was ever read.
func (r *Replica) Content() (Version, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.content, r.loaded
}

// Failing reports whether the source does not answer this process at present.
func (r *Replica) Failing() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failing && !(r.idle && r.clock.Now()-r.failedAt >= failureMemory)
}

// Since returns the changes after a version, or all rows if these changes are not known any more.
func (r *Replica) Since(after Version) Batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	b := Batch{Version: r.version, Complete: after == 0 || after < r.floor}
	for _, row := range r.list() {
		if b.Complete || row.Version > after {
			b.Rows = append(b.Rows, row)
		}
	}
	for _, row := range r.deleted {
		if !b.Complete && row.Version > after {
			b.Rows = append(b.Rows, row)
		}
	}
	return b
}

// Follow says whether the source is to be followed. Otherwise changes come from other processes, by Offer.
func (r *Replica) Follow(on bool) {
	r.mutex.Lock()
	was := !r.idle
	r.idle = !on
	r.mutex.Unlock()
	if on && !was {
		r.Suspect()
	}
}

// Following reports whether the source is followed.
func (r *Replica) Following() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.idle
}

// Offer takes rows that another process read from the same source: all of them, or the changes after a version that this
// replica had. Older ones change nothing.
func (r *Replica) Offer(b Batch) {
	r.mutex.Lock()
	if r.loaded && b.Version <= r.version || !r.loaded && !b.Complete {
		r.mutex.Unlock()
		return
	}
	changed := r.apply(b, 0)
	r.mutex.Unlock()
	r.publish(changed)
}

// Suspect says that another process knows a newer version, so that a silent connection may hide it.
func (r *Replica) Suspect() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run follows the table until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	pause := retryMin
	complete := true
	for r.awaitFollow(ctx) {
		b, err := r.next(ctx, complete)
		switch {
		case err == nil:
			r.recovered()
			pause = retryMin
			complete = r.take(b)
		case errors.Is(err, ErrHistoryLost):
			r.log.WithField("table", r.name).Warn("history lost; reading the whole table")
			complete = true
		default:
			if ctx.Err() != nil {
				return
			}
			r.failed(err)
			_ = r.clock.Sleep(ctx, pause)
			pause = min(2*pause, retryMax)
			complete = true
		}
	}
}

// awaitFollow waits until the source is to be followed, and reports false when ctx has ended.
func (r *Replica) awaitFollow(ctx context.Context) bool {
	for ctx.Err() == nil {
		if r.Following() {
			return true
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		}
	}
	return false
}

// next reads the whole table or waits for changes. A suspicion ends the wait.
func (r *Replica) next(ctx context.Context, complete bool) (Batch, error) {
	if complete {
		return r.read(ctx)
	}
	version, _ := r.Version()
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go r.runWake(stop, cancel)
	return r.changes(wait, version)
}

func (r *Replica) runWake(stop <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-stop:
	case <-r.wake:
		cancel()
	}
}

// take applies a batch from the source and reports whether the whole table has to be read again.
func (r *Replica) take(b Batch) bool {
	r.mutex.Lock()
	changed := r.apply(b, r.clock.Now())
	pending := len(r.lapsed) > 0
	r.mutex.Unlock()
	r.publish(changed)
	if pending {
		_ = r.clock.Sleep(context.Background(), returnGrace/2)
	}
	return pending
}

// apply merges a batch and reports whether a row changed. A now of zero means that missing rows are gone for certain.
func (r *Replica) apply(b Batch, now clock.Millis) bool {
	changed := !r.loaded
	seen := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		seen[row.Key] = true
		r.content = max(r.content, row.Version)
		delete(r.lapsed, row.Key)
		old, known := r.rows[row.Key]
		switch {
		case known && old.Version > row.Version:
		case row.Deleted:
			changed = changed || known
			delete(r.rows, row.Key)
			r.deleted[row.Key] = row
		case !known || old.Version < row.Version:
			changed = true
			r.rows[row.Key] = row
			delete(r.deleted, row.Key)
		}
	}
	if b.Complete {
		changed = r.removeMissing(seen, now, b.Version) || changed
	}
	r.version = max(r.version, b.Version)
	r.loaded = true
	return changed
}

// removeMissing drops the rows that a complete batch doesn't have. Rows that may come back are kept for a grace time.
// The version at which a row was removed is not known, so that of the batch takes its place.
func (r *Replica) removeMissing(seen map[string]bool, now clock.Millis, version Version) bool {
	removed := !r.loaded
	if !r.loaded {
		r.floor = version
	}
	for key := range r.rows {
		if seen[key] {
			continue
		}
		if r.keepLapsed && now != 0 {
			since, ok := r.lapsed[key]
			if !ok {
				r.lapsed[key] = now
				continue
			}
			if now-since < returnGrace {
				continue
			}
		}
		delete(r.lapsed, key)
		delete(r.rows, key)
		r.deleted[key] = Row{Key: key, Version: version, Deleted: true}
		r.content = max(r.content, version)
		removed = true
	}
	return removed
}

func (r *Replica) publish(changed bool) {
	if !changed {
		return
	}
	r.mutex.Lock()
	rows := r.list()
	r.mutex.Unlock()
	r.changed(rows)
}

func (r *Replica) list() []Row {
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

func (r *Replica) failed(err error) {
	r.mutex.Lock()
	was := r.failing
	r.failing, r.failedAt = true, r.clock.Now()
	r.mutex.Unlock()
	if !was {
		r.log.WithField("table", r.name).WithError(err).Warn("dependency lost: the table can't be read")
	}
}

func (r *Replica) recovered() {
	r.mutex.Lock()
	was := r.failing
	r.failing = false
	r.mutex.Unlock()
	if was {
		r.log.WithField("table", r.name).Info("dependency regained: the table is read again")
	}
}

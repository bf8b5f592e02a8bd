package table

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// checkInterval is the time between two checks whether the table still has the rows that were written.
	checkInterval = clock.Second
	// recentTime is the time after which a written row is forgotten. A restored copy is expected to be newer.
	recentTime = clock.Minute
	// maxRecentRows and maxRecentBytes bound the remembered rows; the oldest ones are forgotten first.
	maxRecentRows  = 10_000
	maxRecentBytes = 8 << 20
	// checkWorkers is the number of concurrent checks.
	checkWorkers = 4
)

// Verdict is what the current row says about an earlier write.
type Verdict string

// The verdicts.
const (
	// Present means that the write or its effect is in the table.
	Present Verdict = "present"
	// Lost means that the table has an older state than the write.
	Lost Verdict = "lost"
	// Replaced means that another instance wrote the row since. The write is forgotten.
	Replaced Verdict = "replaced"
	// Conflict means that another instance wrote the row, but that the write may still have to be repeated.
	Conflict Verdict = "conflict"
)

// Judge decides whether a write is in the current row, or in the absence of a row if exists is false. If the write is lost, it also
// returns the condition under which the row may be written again.
type Judge func(current Row, exists bool) (Verdict, Condition)

// Recent holds the rows that an instance wrote lately, and writes them again if the table is restored from an older copy. Each write
// is read once within two check intervals, and the newest one again and again: a copy that has it has all earlier ones too.
type Recent struct {
	clock *clock.Clock
	get   func(ctx context.Context, key string) (Row, bool, error)
	put   func(ctx context.Context, row Row, condition Condition) error

	mutex  sync.Mutex
	writes map[string]*write
	bytes  int
}

// write is a row that was written, and when.
type write struct {
	row     Row
	judge   Judge
	at      clock.Millis
	checked bool
	// conflict is set while another instance's row is in the table.
	conflict bool
}

// NewRecent returns an empty Recent that reads and writes rows with get and put, which have the contracts of Table.
func NewRecent(
	c *clock.Clock,
	get func(ctx context.Context, key string) (Row, bool, error),
	put func(ctx context.Context, row Row, condition Condition) error,
) *Recent {
	return &Recent{clock: c, get: get, put: put, writes: map[string]*write{}}
}

// Add remembers a row whose write has taken effect. It replaces an earlier one with the same key.
func (r *Recent) Add(row Row, judge Judge) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.remove(row.Key)
	for len(r.writes) > 0 && (len(r.writes) >= maxRecentRows || r.bytes+size(row) > maxRecentBytes) {
		r.forgetOldest()
	}
	r.writes[row.Key] = &write{row: row, judge: judge, at: r.clock.Now()}
	r.bytes += size(row)
}

// Forget forgets the row with the key.
func (r *Recent) Forget(key string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.remove(key)
}

// Restore writes the remembered row with the key again if the table has lost it. Without a remembered row it does nothing.
func (r *Recent) Restore(ctx context.Context, key string) error {
	r.mutex.Lock()
	w := r.writes[key]
	r.mutex.Unlock()
	if w == nil {
		return nil
	}
	return r.check(ctx, w)
}

// Run checks the remembered rows until ctx ends and returns ctx's error.
func (r *Recent) Run(ctx context.Context) error {
	for r.clock.Sleep(ctx, checkInterval) == nil {
		if r.checkDue(ctx) {
			r.forgetOld()
		}
	}
	return ctx.Err()
}

// checkDue checks the writes that are due and reports whether the table answered all checks.
func (r *Recent) checkDue(ctx context.Context) bool {
	queue := r.due()
	var group sync.WaitGroup
	var mutex sync.Mutex
	answered := true
	for range min(checkWorkers, len(queue)) {
		group.Go(func() {
			for w := range queue {
				if r.check(ctx, w) != nil {
					mutex.Lock()
					answered = false
					mutex.Unlock()
					return
				}
			}
		})
	}
	group.Wait()
	return answered
}

// due returns the writes that were not checked yet and the newest of the others, in a closed channel.
func (r *Recent) due() chan *write {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	queue := make(chan *write, len(r.writes))
	defer close(queue)
	var newest *write
	for _, w := range r.writes {
		switch {
		case !w.checked:
			queue <- w
		case newest == nil || w.at > newest.at:
			newest = w
		}
	}
	if newest != nil {
		queue <- newest
	}
	return queue
}

// check writes a row again if the table has lost it. All others are then due, since they may be lost too.
func (r *Recent) check(ctx context.Context, w *write) error {
	row, exists, err := r.get(ctx, w.row.Key)
	if err != nil || !r.remembers(w) {
		return err
	}
	verdict, condition := w.judge(row, exists)
	if verdict == Lost {
		if err = r.put(ctx, w.row, condition); errors.Is(err, ErrConditionFailed) {
			err = nil // the next check decides again
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch verdict {
	case Present:
		w.checked, w.conflict = true, false
	case Conflict:
		w.checked, w.conflict = false, true
	case Lost:
		for _, other := range r.writes {
			other.checked = false
		}
	case Replaced:
		if r.writes[w.row.Key] == w {
			r.remove(w.row.Key)
		}
	}
	return err
}

// remembers reports whether a write has not been forgotten or replaced by a later one with its key.
func (r *Recent) remembers(w *write) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.writes[w.row.Key] == w
}

// forgetOld removes the writes that are older than recentTime, after a check of all that were due.
func (r *Recent) forgetOld() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, w := range r.writes {
		if r.clock.Now()-w.at > recentTime && (w.checked || w.conflict) {
			r.remove(key)
		}
	}
}

// forgetOldest removes the oldest tenth of the writes.
func (r *Recent) forgetOldest() {
	oldestFirst := slices.SortedFunc(maps.Values(r.writes), func(a, b *write) int { return cmp.Compare(a.at, b.at) })
	for _, w := range oldestFirst[:(len(oldestFirst)+9)/10] {
		r.remove(w.row.Key)
	}
}

func (r *Recent) remove(key string) {
	if w := r.writes[key]; w != nil {
		r.bytes -= size(w.row)
		delete(r.writes, key)
	}
}

// size returns the approximate memory that a row takes.
func size(r Row) int { return len(r.Key) + len(r.Body) + len(r.Attempt) }

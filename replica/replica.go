package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
)

// ErrHistoryLost is returned by a source that no longer has the changes after the requested version.
var ErrHistoryLost = errors.New("history is no longer available")

var (
	// errRechecked ends a wait for changes after Recheck.
	errRechecked = errors.New("rechecked")
	// errRestored says that changes are those of a restored source, of which the whole table has to be read.
	errRestored = fmt.Errorf("the source was restored from an older copy: %w", ErrHistoryLost)
	// errOlderSource says that a batch from the source is older than what is known, as from an answer that was delayed.
	errOlderSource = errors.New("the source returned an older state")
	// errConfirmDue ends a wait for changes when the missing rows are to be looked for.
	errConfirmDue = errors.New("missing rows are to be looked for")
)

const (
	// changesPause is the pause after a change before further ones are asked for, so that those of one moment arrive together.
	changesPause clock.Millis = 150
	// failureRetention is the time for which an instance that no longer follows the source still counts as failing. Without it,
	// all instances would take turns trying to follow a source that is down.
	failureRetention = 3 * clock.Second
	// removedRowGrace is the time for which a row that was removed in an earlier era is not taken from a restored source unless it is
	// written again. The source removes within it the rows of servers that are gone.
	removedRowGrace = 5 * clock.Second
	// removedRowRetention is the time for which removed rows are remembered. It exceeds the age of the copies from which a source
	// is restored.
	removedRowRetention = 60 * clock.Second
	// missingRowGrace is the time after a row is first missing from a snapshot in which it may reappear before it is removed.
	// Rows that expired during an outage of the source are renewed within that time.
	missingRowGrace clock.Millis = 2200
)

// Replica is a copy of one table. It is safe for concurrent use.
type Replica struct {
	name        string
	read        func(ctx context.Context) (Batch, error)
	changes     func(ctx context.Context, after Version) (Batch, error)
	changed     func(rows []Row)
	supersedes  func(row, other Row) bool
	onEra       func(era Era)
	generation  func(rows []Row) int64
	identity    func(row Row) string
	lasting     func(row Row) bool
	hasLasting  bool
	keepMissing bool
	clock       *clock.Clock
	log         log.Interface

	// notifyMutex is held while rows are passed to changed, so that older rows never replace newer ones.
	notifyMutex sync.Mutex

	mutex sync.Mutex
	rows  map[string]Row
	// era is the era of all versions below.
	era     Era
	version Version
	// contentVersion is the largest version of a row that was seen.
	contentVersion Version
	loaded         bool
	// loadedAt is the time of the first load.
	loadedAt clock.Millis
	// failing is set if the last read of the source failed.
	failing bool
	// failedAt is the time of the last failed read.
	failedAt clock.Millis
	// deleted has the tombstones of rows that were removed after historyStart.
	deleted map[string]Row
	// historyStart is the first version since which all changes, including removals, are known.
	historyStart Version
	// passive is set if the source is not followed and changes come from other instances.
	passive bool
	// currentGeneration and hasCarriedOver are what Generation returns.
	currentGeneration int64
	hasCarriedOver    bool
	// changedByPeer says that the latest change came from another instance.
	changedByPeer bool
	// missingSince has the time at which a row that is still kept was first missing from a snapshot.
	missingSince map[string]clock.Millis
	// unconfirmed has the lasting rows that were held back and then installed, until the source's row replaces them.
	unconfirmed map[string]bool
	// removed has the rows that were removed lately, as they were before.
	removed map[string]removedRow
	// latestEra is the latest era of the source that was heard of.
	latestEra Era
	// held has the rows that were removed in an earlier era, and that the restored source has from its copy.
	held map[string]heldRow
	// recheck ends a wait for changes or for SetFollowing.
	recheck chan struct{}
}

// New returns an empty replica of the named table; WithSource is required.
func New(name string, opts ...Option) *Replica {
	r := &Replica{
		name: name, clock: clock.Monotonic(), log: log.Log, changed: func([]Row) {},
		supersedes: func(Row, Row) bool { return false }, onEra: func(Era) {}, generation: func([]Row) int64 { return 0 },
		identity: func(row Row) string { return string(row.Value) }, lasting: func(Row) bool { return false },
		rows: map[string]Row{}, deleted: map[string]Row{}, missingSince: map[string]clock.Millis{}, removed: map[string]removedRow{},
		held: map[string]heldRow{}, unconfirmed: map[string]bool{}, recheck: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Position returns the source's position up to which changes are known, and whether the table was ever loaded.
func (r *Replica) Position() (Position, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.position(), r.loaded
}

// ContentPosition returns the position of the latest known change of a row, and whether the table was ever loaded.
func (r *Replica) ContentPosition() (Position, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	position := r.position()
	position.Version = r.contentVersion
	return position, r.loaded
}

// position returns the position up to which changes are known. The caller holds the lock.
func (r *Replica) position() Position {
	return Position{Era: r.era, Version: r.version, Unsettled: r.unsettledRows() > 0}
}

// Failing reports whether this instance can't read the source, as of its last attempt. A failure is forgotten some time after
// the instance stopped following the source.
func (r *Replica) Failing() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failing && !(r.passive && r.clock.Now()-r.failedAt >= failureRetention)
}

// Since returns the changes after a position, or all rows if it is zero, unsettled or of another era, or precedes the known changes. Rows
// that are missing or held back are always part of it, and so are tombstones of lasting rows, which do not end by being left out.
func (r *Replica) Since(after Position) Batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	complete := after.Version == 0 || after.Era != r.era || after.Unsettled || after.Version < r.historyStart
	batch := NewBatch(r.position(), nil, complete)
	batch.Recent = r.clock.Now()-r.loadedAt < missingRowGrace
	for _, row := range r.list() {
		var since clock.Millis
		if since, row.Missing = r.missingSince[row.Key]; row.Missing {
			row.MissingFor = r.missingFor(row, since)
		}
		if complete || row.Missing || row.Version > after.Version {
			batch.Rows = append(batch.Rows, row)
		}
	}
	for _, row := range r.deleted {
		if !complete && row.Version > after.Version || complete && r.lasting(row) {
			batch.Rows = append(batch.Rows, row)
		}
	}
	for _, h := range r.held {
		batch.Rows = append(batch.Rows, h.passedOn())
	}
	return batch
}

// SetFollowing sets whether Run follows the source. Otherwise changes come from other instances, by Merge.
func (r *Replica) SetFollowing(on bool) {
	r.mutex.Lock()
	wasFollowing := !r.passive
	r.passive = !on
	r.mutex.Unlock()
	if on && !wasFollowing {
		r.Recheck()
	}
}

// Following reports whether the source is followed.
func (r *Replica) Following() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.passive
}

// Merge applies rows that another instance read from the same source: all of them, or the changes after a position that this
// replica had. Of a batch that is not newer than the replica, only rows count that this replica has from an earlier era's older copy;
// changes are ignored before the replica is loaded and across eras.
func (r *Replica) Merge(batch Batch) {
	r.mutex.Lock()
	if !batch.Complete && (!r.loaded || batch.Era != r.era) {
		r.mutex.Unlock()
		return
	}
	if r.loaded && batch.Position().Compare(r.position()) <= 0 {
		changed := r.applyLaterStates(batch.Rows)
		wake := r.passive && changed
		r.mutex.Unlock()
		r.notify(changed)
		if wake {
			r.Recheck() // Run waits until the first lasting row is due
		}
		return
	}
	era, loaded := r.era, r.loaded
	changed := r.apply(batch, fromPeer)
	wake := r.passive && (len(r.held) > 0 || len(r.missingSince) > r.unsettledRows())
	r.mutex.Unlock()
	r.notify(changed)
	if !loaded || batch.Era != era {
		r.onEra(batch.Era)
	}
	if wake {
		r.Recheck() // Run waits until the first held or lasting row is due
	}
}

// Recheck ends the current wait for changes. It is called when another instance knows a newer version, because the connection
// to the source may be unresponsive.
func (r *Replica) Recheck() {
	select {
	case r.recheck <- struct{}{}:
	default:
	}
}

func (r *Replica) notify(changed bool) {
	if !changed {
		return
	}
	r.notifyMutex.Lock()
	defer r.notifyMutex.Unlock()
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

package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// backupDelay is the time for which changes of suspects are collected before they are stored.
	backupDelay clock.Millis = 100
	// backupInterval is the least time between two writes of the row by all instances together, and between two looks of an instance at it.
	backupInterval = clock.Second
	// maxPostponement is the longest time for which an instance postpones its write because the row was written less than backupInterval ago.
	maxPostponement = 3 * clock.Second
	// followerDelay is the time after which followers of the store's tables store what those that found it have not.
	followerDelay = 2 * clock.Second
	// backupRetryDelay is the mean time between the first two attempts after a failed one, and maxBackupRetryDelay that between later ones.
	// They vary by half.
	backupRetryDelay    clock.Millis = 700
	maxBackupRetryDelay clock.Millis = 1400
	// storedLag is how much later than stored a suspect's latest death may be before it is stored again.
	storedLag = 30 * clock.Second
)

// Revision names a state of the row; it is empty if there is no row.
type Revision string

// errWrittenLately says that the row was written less than backupInterval ago, so that this write has to wait.
var errWrittenLately = errors.New("the row of suspects was written a short time ago")

// ErrRevisionChanged says that the row was not written because it no longer has the revision that the write replaces.
var ErrRevisionChanged = errors.New("another instance wrote the row of suspects")

// BackupRow is the row of the platform's store that has the suspects.
type BackupRow struct {
	Value    []byte
	Revision Revision
	// Now is the time of the read by a clock that all instances have in common.
	Now clock.Millis
}

// Backup keeps the suspects of several deaths in one row of the platform's store, so that a request or a part that crashes engines is known
// after a restart of all instances. It is written by the instances that found the deaths, or else by those that follow the store's
// tables, off the path of requests.
type Backup struct {
	register *Register
	clock    *clock.Clock
	log      log.Interface
	// Read returns the row, and Write replaces it if it still has the revision; otherwise it returns ErrRevisionChanged.
	Read  func(ctx context.Context) (BackupRow, error)
	Write func(ctx context.Context, value []byte, replaces Revision) error
	// Follows reports whether this instance follows the store's tables.
	Follows func() bool
	// VerifyInterval is the time after which followers read a row again that has or should have suspects; zero if Verify is called
	// when the store was restored from a copy.
	VerifyInterval clock.Millis

	changed chan struct{}
	// retry has an element when a failed call is to be repeated at once.
	retry  chan struct{}
	loaded atomic.Bool

	mutex sync.Mutex
	// stored are the suspects in the row, as far as this instance knows.
	stored []lastingGroup
	// differsSince is the time since which the register has other suspects than the row; zero if it has the same.
	differsSince clock.Millis
	// restorations is the number of calls of Verify, and verified that at the beginning of the last read: if it is less, the row may have
	// lost what is known of it.
	restorations, verified int
	// readAt is the time of the last read.
	readAt clock.Millis
	// failures is the number of failed attempts in a row; only Run uses it.
	failures int
	// omitted is the number of groups that have no place in the row, and writes that of all writes.
	omitted, writes atomic.Int64
}

// NewBackup returns a backup of the register's suspects. Read, Write and Follows have to be set.
func NewBackup(g *Register, l log.Interface) *Backup {
	b := &Backup{register: g, clock: g.clock, log: l, changed: make(chan struct{}, 1), retry: make(chan struct{}, 1)}
	g.onSuspects = b.wakeUp
	return b
}

// Loaded reports whether the suspects of the store were read since the start.
func (b *Backup) Loaded() bool { return b.loaded.Load() }

// Writes returns the number of times that this instance wrote the row.
func (b *Backup) Writes() int64 { return b.writes.Load() }

// Omitted returns the number of groups of suspects that have no place in the row.
func (b *Backup) Omitted() int64 { return b.omitted.Load() }

// Verify makes followers read the row again, since the store was restored from an older copy.
func (b *Backup) Verify() {
	b.mutex.Lock()
	b.stored = nil
	b.restorations++
	b.mutex.Unlock()
	b.wakeUp()
}

// Retry makes a failed call be repeated at once, since the store may answer again.
func (b *Backup) Retry() {
	select {
	case b.retry <- struct{}{}:
	default:
	}
}

// wakeUp makes Run look at the suspects.
func (b *Backup) wakeUp() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// Run reads the stored suspects and then stores changes until ctx ends, and returns ctx's error.
func (b *Backup) Run(ctx context.Context) error {
	for ctx.Err() == nil && !b.loaded.Load() {
		if err := b.Load(ctx); err != nil {
			b.pause(ctx, err)
		}
	}
	for ctx.Err() == nil {
		if wait := b.untilDue(); wait != 0 {
			b.await(ctx, wait)
			continue
		}
		b.pause(ctx, b.store(ctx))
	}
	return ctx.Err()
}

// await waits for a change or for a time; forever if it is negative.
func (b *Backup) await(ctx context.Context, wait clock.Millis) {
	var due <-chan struct{}
	if wait > 0 {
		timer, cancel := b.clock.After(wait)
		defer cancel()
		due = timer
	}
	select {
	case <-b.changed:
		_ = b.clock.Sleep(ctx, backupDelay)
	case <-due:
	case <-ctx.Done():
	}
}

// pause waits before the next attempt after one that ended with err.
func (b *Backup) pause(ctx context.Context, err error) {
	delay := backupInterval
	var retry chan struct{}
	switch {
	case err == nil:
		b.failures = 0
	case errors.Is(err, errWrittenLately), errors.Is(err, ErrRevisionChanged):
		delay = backupInterval + clock.Millis(rand.Int64N(int64(maxPostponement-backupInterval)))
	default:
		mean := backupRetryDelay
		if b.failures > 0 {
			mean = maxBackupRetryDelay
		}
		delay = mean/2 + clock.Millis(rand.Int64N(int64(mean)))
		b.failures++
		retry = b.retry
		b.log.WithError(err).Warn("suspects of crashes not read or stored; retrying")
	}
	due, cancel := b.clock.After(delay)
	defer cancel()
	select {
	case <-due:
	case <-retry:
	case <-ctx.Done():
	}
}

// Load reads the stored suspects for the first time; Run does so before anything else.
func (b *Backup) Load(ctx context.Context) error {
	_, decoded, err := b.read(ctx)
	if err != nil {
		return err
	}
	if n := len(decoded.groups); n > 0 {
		b.log.WithField("groups", n).Info("stored suspects of crashes read")
	}
	b.loaded.Store(true)
	return nil
}

// read reads the row and merges its suspects into the register. A row that can't be decoded counts as outdated.
func (b *Backup) read(ctx context.Context) (BackupRow, decodedBackup, error) {
	b.mutex.Lock()
	restorations := b.restorations
	b.mutex.Unlock()
	row, err := b.Read(ctx)
	if err != nil {
		return row, decodedBackup{}, err
	}
	now := b.clock.Now()
	decoded, err := decodeBackup(row.Value, row.Now-now, now)
	if err != nil {
		b.log.WithError(err).Error("stored suspects of crashes are malformed and will be replaced")
	}
	b.register.restore(decoded.groups)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stored, b.verified, b.readAt = decoded.groups, restorations, now
	return row, decoded, nil
}

// store makes the row have the register's suspects, and those of the row that the register lacked.
func (b *Backup) store(ctx context.Context) error {
	row, decoded, err := b.read(ctx)
	if err != nil {
		return err
	}
	groups, _ := b.register.lasting()
	written, now := fitting(groups), b.clock.Now()
	age := now - decoded.writtenAt
	switch {
	case isStored(written, decoded.groups) && !decoded.isOutdated:
		return nil
	case age >= 0 && age < backupInterval:
		return errWrittenLately
	}
	value, err := encodeBackup(written, row.Now-now, now)
	if err != nil {
		return err
	}
	if err := b.Write(ctx, value, row.Revision); err != nil {
		return err
	}
	b.writes.Add(1)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stored = written
	b.log.WithFields(log.Fields{"groups": len(written), "bytes": len(value), "omitted": len(groups) - len(written)}).Info("suspects of crashes stored")
	return nil
}

// isStored reports whether a row with the stored groups needs no change to have these ones.
func isStored(groups, stored []lastingGroup) bool {
	return len(groups) == len(stored) && len(notAmong(groups, stored)) == 0
}

// notAmong returns the groups of the list that are not stored.
func notAmong(list, stored []lastingGroup) []*lastingGroup {
	byFirst := map[Fingerprint]*lastingGroup{}
	for i := range stored {
		byFirst[stored[i].members[0].fingerprint] = &stored[i]
	}
	var missing []*lastingGroup
	for i := range list {
		if s := byFirst[list[i].members[0].fingerprint]; s == nil || !list[i].isStoredAs(s) {
			missing = append(missing, &list[i])
		}
	}
	return missing
}

// untilDue returns the time until this instance has to store suspects or look at them again: zero if it is to store them now, and a negative
// value if nothing is to be done before the next change.
func (b *Backup) untilDue() clock.Millis {
	groups, due := b.register.lasting()
	all := len(groups)
	groups = fitting(groups)
	b.omitted.Store(int64(all - len(groups)))
	now := b.clock.Now()
	follows := b.Follows()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := range b.stored {
		if at := b.stored[i].lastDeathAt() + quarantinePeriod; at > now {
			due = earlier(due, at)
		}
	}
	verify := b.verified < b.restorations
	if b.VerifyInterval > 0 && follows && len(groups)+len(b.stored) > 0 {
		at := b.readAt + b.VerifyInterval
		verify = verify || now >= at
		due = earlier(due, at)
	}
	if isStored(groups, b.stored) && !(verify && follows) {
		b.differsSince = 0
		return until(due, now)
	}
	if b.differsSince == 0 {
		b.differsSince = now
	}
	switch {
	case b.foundDifference(groups):
		return 0
	case follows:
		return max(b.differsSince+followerDelay-now, 0)
	}
	return until(due, now)
}

// until returns the time from now until due, at least 1 ms, or a negative value if due is zero.
func until(due, now clock.Millis) clock.Millis {
	if due == 0 {
		return -1
	}
	return max(due-now, 1)
}

// foundDifference reports whether this instance found what is in the groups but not in the row, or the other way round. The caller holds
// the lock.
func (b *Backup) foundDifference(groups []lastingGroup) bool {
	return slices.ContainsFunc(append(notAmong(groups, b.stored), notAmong(b.stored, groups)...), b.register.hasFound)
}

package replica

import (
	"maps"
	"slices"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
)

// removedRow is a row as it was before it was removed.
type removedRow struct {
	row       Row
	removedAt clock.Millis
}

// heldRow is a row that is not installed yet.
type heldRow struct {
	row   Row
	since clock.Millis
}

// carryOver begins a later era of the source with the rows that are known. They count until the source's own rows replace them, which
// may be older: what was written after the copy was made is written again. The caller holds the lock.
func (r *Replica) carryOver(to Position) {
	r.log.WithFields(log.Fields{
		"table": r.name, "era": to.Era, "version": to.Version, "known-era": r.era, "known-version": r.version, "rows": len(r.rows),
	}).Warn("source restored from an older copy; keeping what is known until it is written again")
	for key, row := range r.rows {
		row.Version = carriedOver
		r.rows[key] = row
	}
	r.version, r.contentVersion, r.historyStart = 0, 0, to.Version
	clear(r.deleted)
	clear(r.held)
	clear(r.unconfirmed)
}

// ExpectEra makes the replica read the whole table from the source, if it follows it, unless it is in that era already. A wait for changes
// after a version of an earlier era may go on for long, as the restored source gives that version out again.
func (r *Replica) ExpectEra(era Era) {
	r.mutex.Lock()
	r.latestEra = max(r.latestEra, era)
	later := r.loaded && r.latestEra > r.era
	r.mutex.Unlock()
	if later {
		r.Recheck()
	}
}

// isInEarlierEra reports whether the source is known to be in a later era than the replica.
func (r *Replica) isInEarlierEra() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loaded && r.latestEra > r.era
}

// rememberRemoved keeps a row that is removed now, and drops those that were removed long ago. The caller holds the lock.
func (r *Replica) rememberRemoved(row Row) {
	now := r.clock.Now()
	maps.DeleteFunc(r.removed, func(_ string, old removedRow) bool { return now-old.removedAt > removedRowRetention })
	r.removed[row.Key] = removedRow{row: row, removedAt: now}
}

// passedOn returns the row as other instances get it.
func (h *heldRow) passedOn() Row {
	row := h.row
	row.Held = true
	return row
}

// holdBack reports whether a row of a batch is not to be installed yet: a restored source has it from its copy, and it is about the same as a
// row that this instance, or the peer which holds it back too, knows to have been removed. It is installed once it is written
// again, or after a grace period. The caller holds the lock.
func (r *Replica) holdBack(row *Row, complete, restored bool) bool {
	now := r.clock.Now()
	h, held := r.held[row.Key]
	old, known := r.rows[row.Key]
	switch {
	case held && complete && !row.Held && !row.Missing && (now-h.since >= removedRowGrace || row.Version > h.row.Version):
		delete(r.held, row.Key) // its time is over, or it was written again
		return false
	case held && (complete || row.Missing) && r.identity(*row) == r.identity(h.row):
		return true
	case row.Held && known && old.Version != carriedOver:
		return true
	case row.Held:
		row.Held = false
		delete(r.rows, row.Key) // a state of an earlier era, which the source does not have
		r.held[row.Key] = heldRow{row: *row, since: now}
		return true
	}
	delete(r.held, row.Key)
	gone, removed := r.removed[row.Key]
	if !removed || row.Deleted || r.identity(gone.row) != r.identity(*row) {
		return false
	}
	if row.Missing {
		return true // the sender has missed the removal
	}
	if !restored {
		return false
	}
	r.held[row.Key] = heldRow{row: *row, since: now}
	return true
}

// removeHeld removes the rows that are held back and that a complete batch no longer has. The caller holds the lock.
func (r *Replica) removeHeld(seen map[string]bool) {
	for key := range r.held {
		if seen[key] {
			continue
		}
		r.rememberRemoved(r.held[key].row) // another instance may have removed it, and this one only held it back
		delete(r.held, key)
		r.deleted[key] = Row{Key: key, Version: r.version, Deleted: true}
		r.contentVersion = r.version
	}
}

// noteMissing records whether the source has the row of a batch. The caller holds the lock.
func (r *Replica) noteMissing(row *Row) {
	if !row.Missing {
		delete(r.missingSince, row.Key)
		delete(r.unconfirmed, row.Key)
		return
	}
	if _, known := r.missingSince[row.Key]; !known {
		r.missingSince[row.Key] = r.clock.Now() - max(row.MissingFor, 0)
		if row.MissingFor == unconfirmedRow {
			r.unconfirmed[row.Key] = true
		}
	}
	row.Missing, row.MissingFor = false, 0
}

// installHeld installs the rows that were held back for long enough, at an instance that doesn't follow the source. They count as missing
// until a peer that follows it confirms them. It also removes lasting rows that were missing for too long.
func (r *Replica) installHeld() {
	r.mutex.Lock()
	now := r.clock.Now()
	changed := r.removeLasting()
	for key, h := range r.held {
		if now-h.since < removedRowGrace {
			continue
		}
		delete(r.held, key)
		h.row.Version = carriedOver
		r.missingSince[key] = now
		if r.lasting(h.row) {
			r.unconfirmed[key] = true
		}
		changed = r.applyRow(h.row) || changed
	}
	if changed {
		r.update()
	}
	r.mutex.Unlock()
	r.notify(changed)
}

// untilHeldIsDue returns the time until a row that is held back is installed, or a lasting one removed, and a long time if there is none.
func (r *Replica) untilHeldIsDue() clock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	wait := r.untilLastingIsDue(removedRowRetention)
	for _, h := range r.held {
		wait = min(wait, max(h.since+removedRowGrace-r.clock.Now(), 0))
	}
	return wait
}

// applyLaterStates installs those rows of another instance's batch that have a later state than the known ones, and reports whether
// there were any. The caller holds the lock.
func (r *Replica) applyLaterStates(rows []Row) bool {
	changed := false
	for _, row := range rows {
		if _, known := r.rows[row.Key]; !known && r.adoptLasting(row) {
			changed = true
			continue
		}
		if known, ok := r.rows[row.Key]; ok && !row.Deleted && !row.Held && r.supersedes(row, known) {
			row.Version = carriedOver
			r.rows[row.Key] = row
			changed = true
		}
	}
	if changed {
		r.changedByPeer = true
		r.update()
	}
	return changed
}

// confirmAt returns the time at which the whole table is to be read to see what became of missing rows and of those that are held
// back; zero if there are none. before is the time that was set before the latest read, which had the mode.
func (r *Replica) confirmAt(before clock.Millis, mode readMode) clock.Millis {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case len(r.missingSince) == 0 && len(r.held) == 0:
		return 0
	case mode == readChanges && before != 0:
		return before
	}
	now := r.clock.Now()
	at := now + r.untilLastingIsDue(removedRowRetention)
	if r.unsettledRows() > len(r.held) {
		at = min(at, now+missingRowGrace/2)
	}
	for _, h := range r.held {
		at = min(at, max(h.since+removedRowGrace, now+1))
	}
	return at
}

// Generation returns how new the rows are by what they say themselves, and whether some of them are not in the restored source.
func (r *Replica) Generation() (generation int64, hasCarriedOver bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.currentGeneration, r.hasCarriedOver
}

// update determines what Generation returns after rows have changed. The caller holds the lock.
func (r *Replica) update() {
	rows := r.list()
	r.currentGeneration = r.generation(rows)
	r.hasCarriedOver = slices.ContainsFunc(rows, func(row Row) bool { return row.Version == carriedOver })
}

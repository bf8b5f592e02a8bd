package replica

// apply merges a batch that was read in a mode and reports whether a row changed. Rows that are missing from a complete batch stay
// for a grace period if they may reappear. The caller holds the lock.
func (r *Replica) apply(batch Batch, mode readMode) bool {
	changed := !r.loaded
	restored := r.loaded && batch.Era > r.era
	if restored {
		r.carryOver(batch.Position())
	}
	r.era = batch.Era
	r.version = max(r.version, batch.Version)
	seen := make(map[string]bool, len(batch.Rows))
	before := len(r.rows)
	for _, row := range batch.Rows {
		seen[row.Key] = true
		if r.holdBack(&row, batch.Complete, restored) {
			changed = changed || len(r.rows) != before
			continue
		}
		r.noteMissing(&row)
		r.contentVersion = max(r.contentVersion, row.Version)
		changed = r.applyRow(row) || changed
	}
	if batch.Complete {
		changed = r.removeMissing(seen, mode, restored, batch.Recent) || changed
	}
	if changed {
		r.changedByPeer = mode == fromPeer
	}
	if changed || restored {
		r.update()
	}
	if !r.loaded {
		r.loaded, r.loadedAt = true, r.clock.Now()
	}
	return changed
}

// applyRow installs or removes a row unless a later state of it is known, and reports whether that changed the table. The caller holds
// the lock.
func (r *Replica) applyRow(row Row) bool {
	old, known := r.rows[row.Key]
	switch {
	case known && !r.replaces(row, old):
		return false
	case row.Deleted:
		r.remove(row)
		return known
	}
	r.rows[row.Key] = row
	delete(r.deleted, row.Key)
	delete(r.removed, row.Key)
	return true
}

// replaces reports whether a row takes the place of the known one.
func (r *Replica) replaces(row, known Row) bool {
	switch {
	case row.Version == carriedOver:
		return r.supersedes(row, known)
	case known.Version == carriedOver:
		return row.Deleted || !r.supersedes(known, row)
	}
	return row.Version > known.Version
}

// remove removes the row of a tombstone. The caller holds the lock.
func (r *Replica) remove(tombstone Row) {
	if row, known := r.rows[tombstone.Key]; known {
		r.rememberRemoved(row)
	}
	delete(r.rows, tombstone.Key)
	delete(r.unconfirmed, tombstone.Key)
	r.deleted[tombstone.Key] = tombstone
}

// removeMissing removes the rows that are missing from a complete batch, after a grace period if they may reappear.
// The version at which a row was removed is not known, so its tombstone gets the version of the batch. The caller holds the lock.
func (r *Replica) removeMissing(seen map[string]bool, mode readMode, restored, recent bool) bool {
	r.removeHeld(seen)
	now := r.clock.Now()
	removed := !r.loaded
	if !r.loaded {
		r.historyStart = r.version
	}
	for key, row := range r.rows {
		if seen[key] {
			continue
		}
		since, missing := r.missingSince[key]
		switch {
		case r.keepLasting(row, now):
			continue
		case r.outlasts(row):
		case !r.keepMissing || mode == fromPeer && !recent:
		case mode == fromPeer && row.Version != carriedOver:
		case !missing && (mode == readWhole || restored || mode == fromPeer):
			r.missingSince[key] = now
			continue
		case missing && now-since < missingRowGrace:
			continue
		}
		delete(r.missingSince, key)
		r.remove(Row{Key: key, Version: r.version, Deleted: true})
		r.contentVersion = r.version
		removed = true
	}
	return removed
}

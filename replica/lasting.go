package replica

import "github.com/poplarwinch/poplarwinch/clock"

// lastingGrace is the time for which a lasting row of an earlier era stays although the restored source lacks it: the greatest age of the
// copies from which a source is restored.
const lastingGrace = 60 * clock.Second

// WithLasting sets the function that reports whether a row is a lasting one: one that, if a restored source lacks it, stays for
// lastingGrace unless it is removed in the new era. Nobody has to write such a row again, as a server does that renews its own.
func WithLasting(lasting func(row Row) bool) Option {
	return func(r *Replica) { r.lasting, r.hasLasting = lasting, true }
}

// HasLasting reports whether the table may have lasting rows.
func (r *Replica) HasLasting() bool { return r.hasLasting }

// unconfirmedRow is the Row.MissingFor of a row that was installed after it was held back, so that a peer that follows the source has to
// tell whether the source still has it.
const unconfirmedRow clock.Millis = -1

// outlasts reports whether the row is a lasting one of an earlier era, which the restored source has not written again. One that was held
// back does not last: it is in the source's copy, or is gone.
func (r *Replica) outlasts(row Row) bool {
	return row.Version == carriedOver && r.lasting(row) && !r.unconfirmed[row.Key]
}

// missingFor returns the time for which a row has been missing, as other instances get it. The caller holds the lock.
func (r *Replica) missingFor(row Row, since clock.Millis) clock.Millis {
	switch {
	case r.unconfirmed[row.Key]:
		return unconfirmedRow
	case r.outlasts(row):
		return r.clock.Now() - since
	}
	return 0
}

// keepLasting reports whether a row that a complete batch lacks stays, and since when it is missing. The caller holds the lock.
func (r *Replica) keepLasting(row Row, now clock.Millis) bool {
	if !r.outlasts(row) {
		return false
	}
	since, missing := r.missingSince[row.Key]
	if !missing {
		r.missingSince[row.Key] = now
		return true
	}
	return now-since < lastingGrace
}

// unsettledRows returns the number of rows of which the source, or a peer that follows it, may soon tell more. Lasting rows that are
// missing are not part of it: they only end by time, and peers would be asked in vain. The caller holds the lock.
func (r *Replica) unsettledRows() int {
	n := len(r.missingSince) + len(r.held)
	for key := range r.missingSince {
		if row, known := r.rows[key]; known && r.outlasts(row) {
			n--
		}
	}
	return n
}

// untilLastingIsDue returns the time until the first lasting row that is missing is removed, at most limit. The caller holds the lock.
func (r *Replica) untilLastingIsDue(limit clock.Millis) clock.Millis {
	now := r.clock.Now()
	for key, since := range r.missingSince {
		if row, known := r.rows[key]; known && r.outlasts(row) {
			limit = min(limit, max(since+lastingGrace-now, 0))
		}
	}
	return limit
}

// removeLasting removes the lasting rows that are missing for too long, and reports whether there were any. The caller holds the lock.
func (r *Replica) removeLasting() bool {
	now := r.clock.Now()
	removed := false
	for key, since := range r.missingSince {
		if row, known := r.rows[key]; known && r.outlasts(row) && now-since >= lastingGrace {
			delete(r.missingSince, key)
			r.remove(Row{Key: key, Version: r.version, Deleted: true})
			r.contentVersion = r.version
			removed = true
		}
	}
	return removed
}

// adoptLasting installs a lasting row of an earlier era that another instance keeps, at one that started after the restoration, and
// reports whether it did. The caller holds the lock.
func (r *Replica) adoptLasting(row Row) bool {
	_, deleted := r.deleted[row.Key]
	_, removed := r.removed[row.Key]
	if !row.Missing || row.Held || row.Deleted || deleted || removed || !r.outlasts(row) {
		return false
	}
	r.noteMissing(&row)
	r.rows[row.Key] = row
	return true
}

// Package replica maintains a local copy of a table of versioned rows that is kept in a remote source.
package replica

import (
	"cmp"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Version is the source's transaction counter. Every change of a row has a larger version than all earlier changes of the same era.
type Version int64

// Era counts how often the source was restored from an older copy of itself. Its versions go back then and are given out again, so
// that versions of different eras don't compare.
type Era int64

// Position is a state of the source as an instance knows it.
type Position struct {
	_       struct{} `cbor:",toarray"`
	Era     Era
	Version Version
	// Unsettled says that the instance keeps rows which the source does not have and which may reappear, or holds back rows that it has.
	Unsettled bool
}

// Compare returns -1 if p is older than q, 1 if it is newer, and 0 otherwise. A later era is newer, whatever its versions, and of two
// positions at the same version the one that is settled.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version), cmp.Compare(p.settled(), q.settled()))
}

func (p Position) settled() int {
	if p.Unsettled {
		return 0
	}
	return 1
}

// IsBehind reports whether an instance at p can learn something from one at q, which may say the version of its latest change only.
func (p Position) IsBehind(q Position) bool {
	return p.Compare(q) < 0 || p.Era == q.Era && p.Unsettled && !q.Unsettled
}

// Row is one row of the table.
type Row struct {
	Key   string `cbor:"key"`
	Value []byte `cbor:"value"`
	// Version is carriedOver for a row that is known from an earlier era only.
	Version Version `cbor:"version"`
	// Deleted marks the tombstone of a row that no longer exists.
	Deleted bool `cbor:"deleted,omitempty"`
	// Missing is set, between instances, if the sender keeps the row although the source does not have it.
	Missing bool `cbor:"missing,omitempty"`
	// MissingFor is the time for which the sender has kept a lasting row that is missing, or unconfirmedRow.
	MissingFor clock.Millis `cbor:"missing_for,omitempty"`
	// Held is set, between instances, if the sender holds the row back although the source has it.
	Held bool `cbor:"held,omitempty"`
}

// carriedOver is the version of rows that are known from an earlier era and that the source has not written again.
const carriedOver Version = 0

// Batch is a result of reading the source: a full snapshot or incremental changes.
type Batch struct {
	Rows []Row
	// Era is the source's era at the time of the read.
	Era Era
	// Version is the source's version at the time of the read.
	Version Version
	// Unsettled is that of the position of the instance which passes the batch on.
	Unsettled bool
	// Recent is set if the sender has loaded the table so lately that it may not know rows which may reappear.
	Recent bool
	// Complete is set if Rows holds every row of the table, not only changes.
	Complete bool
}

// NewBatch returns a batch of the rows that are known at a position.
func NewBatch(at Position, rows []Row, complete bool) Batch {
	return Batch{Rows: rows, Era: at.Era, Version: at.Version, Unsettled: at.Unsettled, Complete: complete}
}

// Position returns the position of the rows.
func (b *Batch) Position() Position {
	return Position{Era: b.Era, Version: b.Version, Unsettled: b.Unsettled}
}

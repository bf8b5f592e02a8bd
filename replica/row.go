// Package replica maintains a local copy of a table of versioned rows that is kept in a remote source.
package replica

// Version is the source's transaction counter. Every change of a row has a larger version than all earlier changes.
type Version int64

// Row is one row of the table.
type Row struct {
	Key     string  `cbor:"key"`
	Value   []byte  `cbor:"value"`
	Version Version `cbor:"version"`
	// Deleted marks the tombstone of a row that no longer exists.
	Deleted bool `cbor:"deleted,omitempty"`
}

// Batch is a result of reading the source: a full snapshot or incremental changes.
type Batch struct {
	Rows []Row
	// Version is the source's version at the time of the read.
	Version Version
	// Complete is set if Rows holds every row of the table, not only changes.
	Complete bool
}

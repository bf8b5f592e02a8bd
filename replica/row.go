// Package replica keeps a copy of a table of versioned rows that its source changes over time.
package replica

// Version is the source's counter of transactions; each change of a row has a larger one than all before it.
type Version int64

// Row is one row of the table.
type Row struct {
	Key     string  `cbor:"key"`
	Value   []byte  `cbor:"value"`
	Version Version `cbor:"version"`
	// Deleted marks a row that no longer exists.
	Deleted bool `cbor:"deleted,omitempty"`
}

// Batch is a set of rows as of a version of the source.
type Batch struct {
	Rows []Row
	// Version is the version of the source at the time of the answer.
	Version Version
	// Complete says that Rows holds every row of the table, not only changes.
	Complete bool
}

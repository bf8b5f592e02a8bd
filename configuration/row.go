// Package configuration maintains the active manifest of an instance: it commits, activates and propagates manifest
// versions.
package configuration

// Row is the table row that holds the record of the current manifest.
type Row struct {
	Key     string
	Body    []byte
	Version uint64
	// Attempt identifies the write of the row. Rows of earlier releases have none.
	Attempt string
}

// Package configuration keeps the active manifest of an instance: commits, activation and propagation.
package configuration

// Row is the table row that holds the record of the current manifest.
type Row struct {
	Key     string
	Body    []byte
	Version uint64
}

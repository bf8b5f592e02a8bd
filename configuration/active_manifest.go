package configuration

import "github.com/poplarwinch/poplarwinch/manifest"

// activeManifest is a compiled manifest with its record and its section bodies, keyed by digest.
type activeManifest struct {
	record   Record
	index    *manifest.Index
	sections map[string][]byte
}

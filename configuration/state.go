package configuration

import "github.com/poplarwinch/poplarwinch/manifest"

// state is an active manifest with its record and the bodies of its sections by digest.
type state struct {
	record   Record
	index    *manifest.Index
	sections map[string][]byte
}

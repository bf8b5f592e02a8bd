package manifest

import "github.com/poplarwinch/poplarwinch"

// Adapter is an adapter of a model. Callers select it as MODEL:ADAPTER.
type Adapter struct {
	Name    poplarwinch.AdapterName `json:"name"`
	Version string                  `json:"version"`
}

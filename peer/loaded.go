package peer

import "github.com/poplarwinch/poplarwinch"

// Loaded is a model that an engine holds.
type Loaded struct {
	Name     poplarwinch.ModelName
	Version  string
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter that an engine holds.
type LoadedAdapter struct {
	Name    poplarwinch.AdapterName
	Version string
}

package peer

import "github.com/poplarwinch/poplarwinch"

// Loaded is a model that is loaded on an engine.
type Loaded struct {
	Name     poplarwinch.ModelName
	Version  string
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter that is loaded on an engine.
type LoadedAdapter struct {
	Name    poplarwinch.AdapterName
	Version string
}

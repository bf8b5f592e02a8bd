package peer

import "github.com/poplarwinch/poplarwinch"

// LoadedModel is a model that is loaded on an engine.
type LoadedModel struct {
	Name     poplarwinch.ModelName
	Version  string
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter that is loaded on an engine.
type LoadedAdapter struct {
	Name    poplarwinch.AdapterName
	Version string
}

package upstream

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
)

// Loaded is a model that an engine has in memory.
type Loaded struct {
	Name     poplarwinch.ModelName
	Version  string
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter of a loaded model.
type LoadedAdapter struct {
	Name    poplarwinch.AdapterName
	Version string
}

func sameModels(a, b []Loaded) bool {
	return slices.EqualFunc(a, b, func(x, y Loaded) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

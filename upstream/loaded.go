package upstream

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
)

// LoadedModel is a model that an engine has in memory.
type LoadedModel struct {
	Name     poplarwinch.ModelName
	Version  string
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter of a loaded model.
type LoadedAdapter struct {
	Name    poplarwinch.AdapterName
	Version string
}

func sameModels(a, b []LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y LoadedModel) bool {
		return x.Name == y.Name && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}

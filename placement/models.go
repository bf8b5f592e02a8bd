package placement

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// toLoaded returns the loaded model that the manifest entry m demands, with all its adapters.
func toLoaded(m *manifest.Model) upstream.LoadedModel {
	l := upstream.LoadedModel{Name: m.Name, Version: m.Version}
	for _, a := range m.Adapters {
		l.Adapters = append(l.Adapters, upstream.LoadedAdapter{Name: a.Name, Version: a.Version})
	}
	return l
}

// equalModels reports whether a and b have the same name, version and set of adapters.
func equalModels(a, b upstream.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && len(a.Adapters) == len(b.Adapters) &&
		!slices.ContainsFunc(a.Adapters, func(x upstream.LoadedAdapter) bool { return !slices.Contains(b.Adapters, x) })
}

func containsModel(models []upstream.LoadedModel, m upstream.LoadedModel) bool {
	return slices.ContainsFunc(models, func(x upstream.LoadedModel) bool { return equalModels(x, m) })
}

// containsModels reports whether models contains every model of part.
func containsModels(models, part []upstream.LoadedModel) bool {
	return !slices.ContainsFunc(part, func(m upstream.LoadedModel) bool { return !containsModel(models, m) })
}

// sameModels reports whether a and b contain the same models in any order.
func sameModels(a, b []upstream.LoadedModel) bool {
	return containsModels(a, b) && containsModels(b, a)
}

func containsName(models []upstream.LoadedModel, name poplarwinch.ModelName) bool {
	return slices.ContainsFunc(models, func(m upstream.LoadedModel) bool { return m.Name == name })
}

// modelNames returns the distinct names of the models.
func modelNames(models []upstream.LoadedModel) []poplarwinch.ModelName {
	var names []poplarwinch.ModelName
	for _, m := range models {
		if !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

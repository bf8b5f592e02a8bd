package placement

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// loadedOf returns the state of an engine that has the model in its current version with all adapters.
func loadedOf(m *manifest.Model) upstream.Loaded {
	l := upstream.Loaded{Name: m.Name, Version: m.Version}
	for _, a := range m.Adapters {
		l.Adapters = append(l.Adapters, upstream.LoadedAdapter{Name: a.Name, Version: a.Version})
	}
	return l
}

// equal reports whether a and b are the same model, version and set of adapters.
func equal(a, b upstream.Loaded) bool {
	return a.Name == b.Name && a.Version == b.Version && len(a.Adapters) == len(b.Adapters) &&
		!slices.ContainsFunc(a.Adapters, func(x upstream.LoadedAdapter) bool { return !slices.Contains(b.Adapters, x) })
}

func contains(models []upstream.Loaded, m upstream.Loaded) bool {
	return slices.ContainsFunc(models, func(x upstream.Loaded) bool { return equal(x, m) })
}

// containsAll reports whether models contains each model of part.
func containsAll(models, part []upstream.Loaded) bool {
	return !slices.ContainsFunc(part, func(m upstream.Loaded) bool { return !contains(models, m) })
}

// same reports whether a and b hold the same models in any order.
func same(a, b []upstream.Loaded) bool { return containsAll(a, b) && containsAll(b, a) }

func hasName(models []upstream.Loaded, name poplarwinch.ModelName) bool {
	return slices.ContainsFunc(models, func(m upstream.Loaded) bool { return m.Name == name })
}

// namesOf returns the distinct names of the models.
func namesOf(models []upstream.Loaded) []poplarwinch.ModelName {
	var names []poplarwinch.ModelName
	for _, m := range models {
		if !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

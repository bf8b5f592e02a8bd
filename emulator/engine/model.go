package engine

import "slices"

// Model is a loaded model, or one that an order names.
type Model struct {
	Name     string    `json:"name"`
	Version  string    `json:"version"`
	Adapters []Adapter `json:"adapters"`
}

// Adapter is an adapter of a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

func (m Model) has(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, a := range m.Adapters {
		if a.Name == adapter {
			return true
		}
	}
	return false
}

func (m Model) equal(x Model) bool {
	return m.Name == x.Name && m.Version == x.Version && slices.Equal(m.Adapters, x.Adapters)
}

// normalized returns m with an empty list of adapters instead of a nil one, which JSON would encode as null.
func (m Model) normalized() Model {
	if m.Adapters == nil {
		m.Adapters = []Adapter{}
	}
	return m
}

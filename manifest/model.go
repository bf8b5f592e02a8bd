package manifest

import "github.com/poplarwinch/poplarwinch"

// Model is a model that the deployment serves.
type Model struct {
	Name    poplarwinch.ModelName `json:"name"`
	Version string                `json:"version"`
	// ContextTokens is the longest context that the model accepts, prompt and answer together.
	ContextTokens poplarwinch.Tokens `json:"context-tokens"`
	// BytesPerToken is the initial estimate of prompt bytes for each token.
	BytesPerToken float64   `json:"bytes-per-token"`
	Adapters      []Adapter `json:"adapters,omitempty"`
	// MinEngines is the number of engines in each failure domain that keep the model loaded.
	MinEngines int `json:"min-engines"`
}

// Adapter returns the adapter with the given name.
func (m *Model) Adapter(name poplarwinch.AdapterName) (*Adapter, bool) {
	for i := range m.Adapters {
		if m.Adapters[i].Name == name {
			return &m.Adapters[i], true
		}
	}
	return nil, false
}

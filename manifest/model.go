package manifest

import "github.com/poplarwinch/poplarwinch"

// Model is a model that the deployment serves.
type Model struct {
	Name    poplarwinch.ModelName `json:"name"`
	Version string                `json:"version"`
	// ContextTokens is the length of the model's context window, which prompt and answer share.
	ContextTokens poplarwinch.Tokens `json:"context-tokens"`
	// BytesPerToken is the initial estimate of the mean number of prompt bytes per token.
	BytesPerToken float64   `json:"bytes-per-token"`
	Adapters      []Adapter `json:"adapters,omitempty"`
	// MinEngines is the minimum number of engines in each failure domain that have the model loaded.
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

package manifest

import (
	"encoding/json"
	"fmt"
)

// Encode returns the manifest as a JSON document that Parse accepts.
func (m *Manifest) Encode() ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode the manifest: %w", err)
	}
	return body, nil
}

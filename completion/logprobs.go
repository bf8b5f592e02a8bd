package completion

import (
	"encoding/json"
	"fmt"
)

// mergeLogprobs concatenates the lists of the chunks' logprobs objects by name. It returns null if there are none.
func mergeLogprobs(parts []json.RawMessage) (json.RawMessage, error) {
	if len(parts) == 0 {
		return json.RawMessage("null"), nil
	}
	merged := map[string][]json.RawMessage{}
	for _, part := range parts {
		var lists map[string][]json.RawMessage
		if err := json.Unmarshal(part, &lists); err != nil {
			return nil, fmt.Errorf("decode logprobs: %w", err)
		}
		for name, list := range lists {
			merged[name] = append(merged[name], list...)
		}
	}
	return json.Marshal(merged)
}

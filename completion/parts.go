package completion

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/poplarwinch/poplarwinch"
)

// sharedParts returns the ids of the messages of a chat that other requests may have in common: all but the last one, at most
// poplarwinch.MaxSharedParts, and the number of those that are left out. A text prompt has none. value is the JSON text of the prompt.
func sharedParts(format Format, value []byte) (parts []poplarwinch.PromptPartID, unidentified int) {
	if format != FormatChat {
		return nil, 0
	}
	previous := []byte(nil)
	for i := skipSeparators(value, 1); value[i] != ']'; {
		end := skipValue(value, i)
		switch {
		case previous == nil:
		case len(parts) < poplarwinch.MaxSharedParts:
			parts = append(parts, partID(previous))
		default:
			unidentified++
		}
		previous = value[i:end]
		i = skipSeparators(value, end)
	}
	return parts, unidentified
}

// partID identifies a message by its JSON text.
func partID(text []byte) poplarwinch.PromptPartID {
	sum := sha256.Sum256(text)
	return poplarwinch.PromptPartID(hex.EncodeToString(sum[:8]))
}

// skipSeparators returns the index of the first byte at or after i that is neither white space nor a comma.
func skipSeparators(text []byte, i int) int {
	i = skipSpace(text, i)
	for text[i] == ',' {
		i = skipSpace(text, i+1)
	}
	return i
}

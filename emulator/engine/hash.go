package engine

import (
	"fmt"
	"strconv"
)

func formatHash(h uint64) string { return fmt.Sprintf("%016x", h) }

// parseHash parses the text of a hash, which must be valid hexadecimal.
func parseHash(text string) uint64 {
	h, _ := strconv.ParseUint(text, 16, 64)
	return h
}

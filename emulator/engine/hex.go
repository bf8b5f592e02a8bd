package engine

import (
	"fmt"
	"strconv"
)

func hex(h uint64) string { return fmt.Sprintf("%016x", h) }

// parseHex returns the hash of a valid hexadecimal text.
func parseHex(text string) uint64 {
	h, _ := strconv.ParseUint(text, 16, 64)
	return h
}

package engine

import (
	"fmt"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
)

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEventKind says whether the blocks of a cache event were stored or removed.
type CacheEventKind string

// CacheEvent reports prefix blocks that were stored in or removed from an engine's cache.
type CacheEvent struct {
	// Sequence increases by 1 with each event; a gap means that events were lost.
	Sequence uint64                `json:"sequence"`
	Kind     CacheEventKind        `json:"event"`
	Model    poplarwinch.ModelName `json:"model"`
	Blocks   []Block               `json:"blocks"`
}

// Block is the hash of a prefix block. It is encoded in JSON as 16 hexadecimal digits.
type Block uint64

// MarshalText returns the hash as 16 hexadecimal digits.
func (b Block) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(b)), nil }

// UnmarshalText parses 16 hexadecimal digits.
func (b *Block) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("block hash %q: want 16 hexadecimal digits", text)
	}
	*b = Block(v)
	return nil
}

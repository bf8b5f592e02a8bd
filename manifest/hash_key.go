package manifest

import (
	"crypto/sha256"
	"encoding/hex"
)

const keyHashPrefix = "sha256:"

// HashKey returns the hash of a customer key as a manifest lists it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

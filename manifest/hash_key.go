package manifest

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyHashPrefix precedes the hex digits of a key hash and names the hash function.
const keyHashPrefix = "sha256:"

// HashKey returns the hash of a customer key in the form of Customer.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const keyHashPrefix = "sha256:"

// HashKey returns the hash of a customer key as a manifest lists it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

// keyPrefix is the part of a key's digest that selects the candidates. Its lookup time depends only on these bytes
// of a SHA-256 digest, from which nothing about the remaining bytes follows.
type keyPrefix [8]byte

type keyEntry struct {
	digest   [sha256.Size]byte
	customer *Customer
}

// keyring finds the customer of a key.
type keyring map[keyPrefix][]keyEntry

func (k keyring) add(hash string, c *Customer) error {
	digest, err := hex.DecodeString(strings.TrimPrefix(hash, keyHashPrefix))
	if err != nil {
		return err
	}
	entry := keyEntry{customer: c}
	copy(entry.digest[:], digest)
	prefix := keyPrefix(entry.digest[:len(keyPrefix{})])
	k[prefix] = append(k[prefix], entry)
	return nil
}

func (k keyring) find(key string) (*Customer, bool) {
	digest := sha256.Sum256([]byte(key))
	var found *Customer
	for _, entry := range k[keyPrefix(digest[:len(keyPrefix{})])] {
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			found = entry.customer
		}
	}
	return found, found != nil
}

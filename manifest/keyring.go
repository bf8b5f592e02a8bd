package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// keyring maps keys to customers.
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

// find returns the customer that owns the key. It compares digests in constant time.
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

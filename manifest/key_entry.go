package manifest

import "crypto/sha256"

// keyPrefix is the leading part of a key's SHA-256 digest, under which a keyring stores its entries. The time of a lookup
// can reveal only these bytes, from which nothing about the rest of the digest follows.
type keyPrefix [8]byte

// keyEntry is the digest of a key and the customer that owns the key.
type keyEntry struct {
	digest   [sha256.Size]byte
	customer *Customer
}

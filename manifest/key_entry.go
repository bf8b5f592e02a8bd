package manifest

import "crypto/sha256"

// keyPrefix is the part of a key's digest that selects the candidates. Its lookup time depends only on these bytes
// of a SHA-256 digest, from which nothing about the remaining bytes follows.
type keyPrefix [8]byte

type keyEntry struct {
	digest   [sha256.Size]byte
	customer *Customer
}

// Package quarantine isolates and rejects requests that crash engines.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/poplarwinch/poplarwinch"
)

// Fingerprint identifies a request by customer, model and body.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Each part is hashed with its length first, so that no caller can
// forge the fingerprint of another customer's request.
func FingerprintOf(customer poplarwinch.CustomerID, model poplarwinch.ModelName, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(customer), []byte(model), body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

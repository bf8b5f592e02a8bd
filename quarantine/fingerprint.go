// Package quarantine isolates and rejects requests that crash engines.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/poplarwinch/poplarwinch"
)

// Fingerprint identifies a request by its caller and what it asks for, or a part of prompts by its id.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Each part is hashed with its length first, so that no caller can
// forge the fingerprint of another customer's request.
func FingerprintOf(customer poplarwinch.CustomerID, model poplarwinch.ModelName, body []byte) Fingerprint {
	return hashFields([]byte(customer), []byte(model), body)
}

// Call identifies a request of a caller to a server by what the server runs. It leaves out what may differ when the caller sends the request
// again, such as an attempt's id and the time that is left.
type Call struct {
	Customer poplarwinch.CustomerID
	Method   string
	Host     string
	// Target is the path with the query, as the caller sent them.
	Target string
	Model  poplarwinch.ModelName
	// Prompt lists all parts of the prompt, with the request's own one.
	Prompt string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request.
func (c Call) Fingerprint() Fingerprint {
	return hashFields(
		[]byte(c.Customer), []byte(c.Method), []byte(strings.ToLower(c.Host)), []byte(c.Target), []byte(c.Model), []byte(c.Prompt), c.Body,
	)
}

// FingerprintOfPart returns the fingerprint of a part of prompts, whichever the customer, the route and the model. It has fewer fields than
// that of a request, so that the hashed bytes are never the same.
func FingerprintOfPart(part poplarwinch.PromptPartID) Fingerprint { return hashFields([]byte(part)) }

func hashFields(fields ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

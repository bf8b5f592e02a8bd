package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/url"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// maxKeyBytes is the maximum length in bytes of an idempotency key and of a customer id. Escaping triples a byte at
// most, so row keys stay below the table's limit of 2,048 bytes.
const maxKeyBytes = 255

// Call is a call that must run at most once.
type Call struct {
	Customer poplarwinch.CustomerID
	// Key is the caller's idempotency key of 1 to 255 bytes.
	Key string
	// Fingerprint identifies the content of the call: method, path and body.
	Fingerprint string
	// Deadline is the time until which Begin waits for another attempt with the same key, and after which the call is not
	// sent.
	Deadline clock.Millis
}

// Fingerprint returns the fingerprint of a call.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	// The lengths make the encoding unambiguous.
	fmt.Fprintf(h, "%d %d %s %s ", len(method), len(path), method, path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// row returns the key of the call's table row.
func (c Call) row() string {
	return "claim/" + url.PathEscape(string(c.Customer)) + "/" + url.PathEscape(c.Key)
}

func (c Call) validate() error {
	switch {
	case c.Key == "" || len(c.Key) > maxKeyBytes:
		return fmt.Errorf("idempotency key has %d bytes, want 1 to %d", len(c.Key), maxKeyBytes)
	case c.Customer == "" || len(c.Customer) > maxKeyBytes:
		return fmt.Errorf("customer id has %d bytes, want 1 to %d", len(c.Customer), maxKeyBytes)
	case c.Fingerprint == "":
		return errors.New("fingerprint is empty")
	}
	return nil
}

package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// secrets holds the hashes of the accepted secrets. Hashes have a fixed length, so comparing them takes
// constant time.
type secrets [][sha256.Size]byte

func newSecrets(accepted []string) secrets {
	var s secrets
	for _, a := range accepted {
		if a != "" {
			s = append(s, sha256.Sum256([]byte(a)))
		}
	}
	return s
}

// accepts reports whether the request carries an accepted secret.
func (s secrets) accepts(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(token))
	match := 0
	for i := range s {
		match |= subtle.ConstantTimeCompare(hash[:], s[i][:])
	}
	return ok && match == 1
}

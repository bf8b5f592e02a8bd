package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// DigestOf returns the SHA-256 digest of a section's body in hex digits.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Digest returns the digest of a manifest, which covers the names and digests of its sections. The order of refs
// does not matter.
func Digest(refs []SectionRef) string {
	lines := make([]string, len(refs))
	for i, ref := range refs {
		lines[i] = ref.Name + " " + ref.Digest + "\n"
	}
	slices.Sort(lines)
	return DigestOf([]byte(strings.Join(lines, "")))
}

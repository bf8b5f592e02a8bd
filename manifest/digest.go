package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// DigestOf returns the SHA-256 digest of a section body in lowercase hex digits.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Digest returns the digest of a manifest, which is computed from the names and digests of its sections. It doesn't depend
// on the order of refs.
func Digest(refs []SectionRef) string {
	lines := make([]string, len(refs))
	for i, ref := range refs {
		lines[i] = ref.Name + " " + ref.Digest + "\n"
	}
	slices.Sort(lines)
	return DigestOf([]byte(strings.Join(lines, "")))
}

package settings

import (
	"fmt"
	"io"
)

// hidden stands for a secret wherever it would be printed.
const hidden = "(hidden)"

// Secret is a value that no log line, error message or encoding shows; only Reveal returns it.
type Secret struct {
	// value is a pointer because fmt doesn't call Format on a Secret in an unexported field of another type, and
	// would print a plain string there.
	value *string
}

// NewSecret returns a secret with the given value.
func NewSecret(value string) Secret { return Secret{value: &value} }

// Reveal returns the value, for use in a signature or a request header.
func (s Secret) Reveal() string {
	if s.value == nil {
		return ""
	}
	return *s.value
}

// String returns a placeholder.
func (s Secret) String() string { return hidden }

// Format writes a placeholder for every verb, including %#v, which would show the field otherwise.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, hidden) }

// MarshalText encodes a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(hidden), nil }

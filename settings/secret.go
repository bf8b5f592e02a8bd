package settings

import (
	"fmt"
	"io"
)

// redacted is printed in place of a secret.
const redacted = "(hidden)"

// Secret is a value that does not appear in log lines, error messages or encodings; only Reveal returns it.
type Secret struct {
	// value is a pointer because fmt doesn't call Format on a Secret in an unexported field of another type, and would
	// print a plain string there.
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
func (s Secret) String() string { return redacted }

// Format writes a placeholder for every verb, including %#v, which would otherwise print the field.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText returns a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

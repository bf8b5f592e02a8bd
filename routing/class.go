// Package routing selects an engine for a prompt and a server for a service call.
package routing

import "github.com/poplarwinch/poplarwinch"

// Class groups prompts by length.
type Class string

// The prompt classes.
const (
	ClassShort  Class = "short"
	ClassMedium Class = "medium"
	ClassLong   Class = "long"
)

const (
	// maxShortTokens is the length of the longest prompts of ClassShort.
	maxShortTokens poplarwinch.Tokens = 8192
	// maxMediumTokens is the length of the longest prompts of ClassMedium.
	maxMediumTokens poplarwinch.Tokens = 32768
)

// ClassOf returns the class of a prompt of the given length.
func ClassOf(tokens poplarwinch.Tokens) Class {
	switch {
	case tokens <= maxShortTokens:
		return ClassShort
	case tokens <= maxMediumTokens:
		return ClassMedium
	}
	return ClassLong
}

// Priority returns the engine priority of the class; lower runs first.
func (c Class) Priority() int {
	switch c {
	case ClassShort:
		return 0
	case ClassMedium:
		return 1
	}
	return 2
}

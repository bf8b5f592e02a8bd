package main

import (
	"strings"

	"github.com/poplarwinch/poplarwinch/emulator/answer"
)

// verdict is the result of comparing an answer with the expected one.
type verdict string

const (
	verdictComplete verdict = "complete"
	verdictPartial  verdict = "partial"
	verdictForeign  verdict = "foreign"
)

// verify compares an answer that the caller was told is complete with the expected one.
func verify(p prompt, maxTokens int, text string) verdict {
	expected := strings.Join(answer.Answer(p.String(), maxTokens), "")
	switch {
	case text == expected:
		return verdictComplete
	case strings.HasPrefix(expected, text):
		return verdictPartial
	default:
		return verdictForeign
	}
}

package main

import (
	"strings"

	"github.com/poplarwinch/poplarwinch/emulator/answer"
)

// verdict is the result of comparing an answer with the expected one.
type verdict string

const (
	// verdictComplete is an answer equal to the expected text.
	verdictComplete verdict = "complete"
	// verdictPartial is a proper prefix of the expected text.
	verdictPartial verdict = "partial"
	// verdictForeign is any other text, such as the answer to another prompt.
	verdictForeign verdict = "foreign"
)

// verify compares an answer that the server reported as complete with the expected one.
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

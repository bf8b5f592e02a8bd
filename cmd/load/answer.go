package main

import "strings"

// answer returns the tokens that the emulated engine generates for a prompt. It is a placeholder
// until the package emulator/answer exists.
var answer = func(prompt string, tokens int) []string {
	words := strings.Fields(prompt[:min(len(prompt), 256)])
	texts := make([]string, tokens)
	for i := range texts {
		texts[i] = "word "
		if len(words) > 0 {
			texts[i] = words[i%len(words)] + " "
		}
	}
	return texts
}

// verdict is the result of comparing an answer with the expected one.
type verdict string

const (
	verdictComplete verdict = "complete"
	verdictPartial  verdict = "partial"
	verdictForeign  verdict = "foreign"
)

// verify compares an answer that the caller was told is complete with the expected one.
func verify(p prompt, maxTokens int, text string) verdict {
	expected := strings.Join(answer(p.String(), maxTokens), "")
	switch {
	case text == expected:
		return verdictComplete
	case strings.HasPrefix(expected, text):
		return verdictPartial
	default:
		return verdictForeign
	}
}

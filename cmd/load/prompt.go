package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
)

// fillerSlack is the range of offsets at which prompts start in the shared buffer.
const fillerSlack = 1 << 20

// library holds the text that all prompts are cut from, so that a prompt in flight costs its
// head and not its length.
type library struct {
	filler string
	seed   uint64
}

// newLibrary returns a library for prompts of up to the given count of bytes.
func newLibrary(seed uint64, longest int) *library {
	const letters = "abcdefghijklmnopqrstuvwxyz "
	random := rand.New(rand.NewPCG(seed, 0))
	b := make([]byte, longest+fillerSlack)
	for i := 0; i < len(b); {
		for u, n := random.Uint64(), 0; n < 12 && i < len(b); n, i = n+1, i+1 {
			b[i] = letters[u%uint64(len(letters))]
			u /= uint64(len(letters))
		}
	}
	return &library{filler: string(b), seed: seed}
}

// prompt is the text of one prompt in two parts that need no JSON escapes.
type prompt struct{ first, second string }

// prompt returns the text of a, which no other arrival of any phase has.
func (l *library) prompt(a arrival, phase string) prompt {
	head := fmt.Sprintf("[%d %s %d] ", l.seed, phase, a.number)
	size := max(classes[a.class].bytes()-len(head), 0)
	if a.document >= 0 {
		const gap = 4096 // a whole prefix block, so that no two documents share one
		start := a.document * gap % fillerSlack
		return prompt{first: l.filler[start : start+size], second: head}
	}
	return prompt{first: head, second: l.filler[a.offset : a.offset+size]}
}

func (p prompt) String() string { return p.first + p.second }

// body returns the request body for p and its length, without copying the prompt.
func (p prompt) body(model string, maxTokens int, stream bool) (func() io.ReadCloser, int64) {
	before := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"prompt":"`, model, maxTokens, stream)
	const after = `"}`
	size := len(before) + len(p.first) + len(p.second) + len(after)
	return func() io.ReadCloser {
		return io.NopCloser(io.MultiReader(strings.NewReader(before), strings.NewReader(p.first),
			strings.NewReader(p.second), strings.NewReader(after)))
	}, int64(size)
}

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
)

// fillerSlack is the range in bytes of the offsets at which prompts start in corpus.filler.
const fillerSlack = 1 << 20

// corpus holds the text of which all prompts are substrings, so that a prompt in flight allocates
// only its head.
type corpus struct {
	filler string
	seed   uint64
}

// newCorpus returns a corpus for prompts of up to longest bytes.
func newCorpus(seed uint64, longest int) *corpus {
	const letters = "abcdefghijklmnopqrstuvwxyz "
	random := rand.New(rand.NewPCG(seed, 0))
	b := make([]byte, longest+fillerSlack)
	for i := 0; i < len(b); {
		for u, n := random.Uint64(), 0; n < 12 && i < len(b); n, i = n+1, i+1 {
			b[i] = letters[u%uint64(len(letters))]
			u /= uint64(len(letters))
		}
	}
	return &corpus{filler: string(b), seed: seed}
}

// prompt is the text of one prompt in two parts, which need no JSON escaping.
type prompt struct{ first, second string }

// prompt returns the text of a, which is unique among the arrivals of all phases.
func (c *corpus) prompt(a arrival, phase string) prompt {
	head := fmt.Sprintf("[%d %s %d] ", c.seed, phase, a.number)
	size := max(classes[a.class].bytes()-len(head), 0)
	if a.document >= 0 {
		const documentSpacing = 4096 // one prefix block in bytes, so that no two documents share a block
		start := a.document * documentSpacing % fillerSlack
		return prompt{first: c.filler[start : start+size], second: head}
	}
	return prompt{first: head, second: c.filler[a.offset : a.offset+size]}
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

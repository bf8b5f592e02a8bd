// Package answer defines the text that emulated engines generate, so that a client can check that it received the
// complete answer to its own prompt.
package answer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the texts of the tokens that an emulated engine generates for a prompt. Each piece depends on the whole
// prompt and on its position.
func Answer(prompt string, tokens int) []string {
	g := NewGenerator(prompt)
	pieces := make([]string, tokens)
	for i := range pieces {
		pieces[i] = g.Piece(i)
	}
	return pieces
}

// Generator generates the pieces of the answer to one prompt.
type Generator struct{ seed uint64 }

// NewGenerator returns the generator for a prompt.
func NewGenerator(prompt string) Generator { return Generator{seed: xxhash.Sum64String(prompt)} }

// Piece returns the text of token i, counted from 0.
func (g Generator) Piece(i int) string {
	// The finalizer of SplitMix64 distributes consecutive positions over all bits.
	z := g.seed + uint64(i+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return " " + strconv.FormatUint(z>>32, 36)
}

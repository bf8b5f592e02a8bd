package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of a prefix cache block in bytes of the prompt's JSON text.
const blockBytes = 4096

// hashBlocks returns the chained hashes of the complete blocks of a prompt's JSON text. It is implemented
// independently of completion.Blocks, so that tests compare two implementations of the same definition.
func hashBlocks(model, adapter, prompt string) []uint64 {
	var hashes []uint64
	var previous uint64
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		input := binary.BigEndian.AppendUint64(nil, previous)
		input = append(input, model...)
		input = append(input, 0)
		input = append(input, adapter...)
		input = append(input, 0)
		input = append(input, prompt[start:start+blockBytes]...)
		previous = xxhash.Sum64(input)
		hashes = append(hashes, previous)
	}
	return hashes
}

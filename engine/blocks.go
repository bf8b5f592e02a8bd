package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

// BlockBytes is the size of a prefix block of the raw prompt text.
const BlockBytes = 4096

// Blocks returns the chained hashes of the whole prefix blocks of a prompt. Each is xxhash64 over the previous
// hash (8 bytes, big-endian, 0 for the first), model, a zero byte, adapter, a zero byte and the block's bytes.
func Blocks(model poplarwinch.ModelName, adapter poplarwinch.AdapterName, prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BlockBytes)
	var previous [8]byte
	d := xxhash.New()
	for len(prompt) >= BlockBytes {
		d.Reset()
		d.Write(previous[:])
		d.WriteString(string(model))
		d.Write([]byte{0})
		d.WriteString(string(adapter))
		d.Write([]byte{0})
		d.WriteString(prompt[:BlockBytes])
		sum := d.Sum64()
		binary.BigEndian.PutUint64(previous[:], sum)
		blocks = append(blocks, sum)
		prompt = prompt[BlockBytes:]
	}
	return blocks
}

package completion

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/poplarwinch/poplarwinch"
)

// BlockBytes is the size of a prefix block in bytes of the prompt's JSON text.
const BlockBytes = 4096

// Blocks returns the chained hashes of the complete prefix blocks of a prompt's JSON text. Each hash is xxhash64 over the
// previous hash (8 bytes, big-endian, 0 for the first block), the model, a zero byte, the adapter, a zero byte and the
// block's bytes, so equal hashes mean equal prefixes for the same model and adapter.
func Blocks(model poplarwinch.ModelName, adapter poplarwinch.AdapterName, prompt []byte) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BlockBytes)
	previous := uint64(0)
	digest := xxhash.New()
	var buffer [8]byte
	for len(prompt) >= BlockBytes {
		digest.Reset()
		binary.BigEndian.PutUint64(buffer[:], previous)
		_, _ = digest.Write(buffer[:])
		_, _ = digest.WriteString(string(model))
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(string(adapter))
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(prompt[:BlockBytes])
		previous = digest.Sum64()
		blocks = append(blocks, previous)
		prompt = prompt[BlockBytes:]
	}
	return blocks
}

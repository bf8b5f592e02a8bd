package entry

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	defaultBytesPerToken = 4.0
	// ratioWeight is the weight of a new observation in the moving average of bytes for each token.
	ratioWeight = 0.05
	// ratioMinimumTokens excludes prompts so short that the chat template dominates their length.
	ratioMinimumTokens poplarwinch.Tokens = 64
)

// ratios learns for each model how many prompt bytes make up one token.
type ratios struct {
	models sync.Map // poplarwinch.ModelName to *atomic.Uint64 holding float64 bits
}

// tokens estimates the tokens of a prompt.
func (r *ratios) tokens(m *manifest.Model, size poplarwinch.Bytes) poplarwinch.Tokens {
	ratio := m.BytesPerToken
	if learned, ok := r.models.Load(m.Name); ok {
		ratio = math.Float64frombits(learned.(*atomic.Uint64).Load())
	}
	if ratio <= 0 {
		ratio = defaultBytesPerToken
	}
	return poplarwinch.Tokens(float64(size)/ratio) + 1
}

// learn adds the engine's count of a prompt's tokens.
func (r *ratios) learn(m *manifest.Model, size poplarwinch.Bytes, tokens poplarwinch.Tokens) {
	if tokens < ratioMinimumTokens {
		return
	}
	observed := float64(size) / float64(tokens)
	cell := &atomic.Uint64{}
	cell.Store(math.Float64bits(observed))
	known, loaded := r.models.LoadOrStore(m.Name, cell)
	if !loaded {
		return
	}
	cell = known.(*atomic.Uint64)
	for {
		old := cell.Load()
		next := math.Float64frombits(old)*(1-ratioWeight) + observed*ratioWeight
		if cell.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

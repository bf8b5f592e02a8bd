package entry

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// defaultBytesPerToken is the estimate for models without a ratio in the manifest and without observations.
	defaultBytesPerToken = 4.0
	// ratioSmoothing is the weight of a new observation in the exponential moving average of bytes per token.
	ratioSmoothing = 0.05
	// minObservedTokens excludes prompts that are so short that the chat template dominates their token count.
	minObservedTokens poplarwinch.Tokens = 64
)

// tokenEstimator estimates prompt sizes from the observed bytes per token of each model.
type tokenEstimator struct {
	bytesPerToken sync.Map // poplarwinch.ModelName to *atomic.Uint64 with the bits of a float64
}

// estimate returns the estimated number of tokens of a prompt.
func (e *tokenEstimator) estimate(m *manifest.Model, promptBytes poplarwinch.Bytes) poplarwinch.Tokens {
	ratio := m.BytesPerToken
	if learned, ok := e.bytesPerToken.Load(m.Name); ok {
		ratio = math.Float64frombits(learned.(*atomic.Uint64).Load())
	}
	if ratio <= 0 {
		ratio = defaultBytesPerToken
	}
	return poplarwinch.Tokens(float64(promptBytes)/ratio) + 1
}

// observe adds the token count that an engine reported for a prompt.
func (e *tokenEstimator) observe(m *manifest.Model, promptBytes poplarwinch.Bytes, tokens poplarwinch.Tokens) {
	if tokens < minObservedTokens {
		return
	}
	observed := float64(promptBytes) / float64(tokens)
	ratioBits := &atomic.Uint64{}
	ratioBits.Store(math.Float64bits(observed))
	stored, loaded := e.bytesPerToken.LoadOrStore(m.Name, ratioBits)
	if !loaded {
		return
	}
	ratioBits = stored.(*atomic.Uint64)
	for {
		old := ratioBits.Load()
		next := math.Float64frombits(old)*(1-ratioSmoothing) + observed*ratioSmoothing
		if ratioBits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

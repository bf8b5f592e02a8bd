package manifest

import "github.com/poplarwinch/poplarwinch"

// Engines holds the properties that all engines of the deployment have in common.
type Engines struct {
	// ChecksFencingTokens declares that engines reject orders with a stale fencing token.
	ChecksFencingTokens bool `json:"checks-fencing-numbers"`
	// MemoryTokens is the capacity of the KV cache of one engine.
	MemoryTokens poplarwinch.Tokens `json:"memory-tokens"`
	// PrefillTokensPerSecond is the prefill rate that is assumed for an engine until it reports its own.
	PrefillTokensPerSecond int64 `json:"prefill-tokens-per-second"`
	// MaxConcurrentLoads is the maximum number of concurrent loads from the weight store in each failure domain.
	MaxConcurrentLoads int `json:"max-concurrent-loads"`
}

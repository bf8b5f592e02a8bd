package manifest

import "github.com/poplarwinch/poplarwinch"

// Engines describes properties that all model engines of the deployment share.
type Engines struct {
	// ChecksFencingNumbers says that engines reject orders with a stale fencing number.
	ChecksFencingNumbers bool `json:"checks-fencing-numbers"`
	// MemoryTokens is the KV memory of one engine.
	MemoryTokens poplarwinch.Tokens `json:"memory-tokens"`
	// PrefillTokensPerSecond is the prefill rate that is assumed until an engine reports its own.
	PrefillTokensPerSecond int64 `json:"prefill-tokens-per-second"`
	// MaxConcurrentLoads bounds the loads from the weight store in each failure domain.
	MaxConcurrentLoads int `json:"max-concurrent-loads"`
}

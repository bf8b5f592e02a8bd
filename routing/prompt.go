package routing

import "github.com/poplarwinch/poplarwinch"

// Prompt describes a model request to the router.
type Prompt struct {
	RequestID    poplarwinch.RequestID
	Customer     poplarwinch.CustomerID
	Model        poplarwinch.ModelName
	Adapter      poplarwinch.AdapterName
	Tokens       poplarwinch.Tokens
	MaxNewTokens poplarwinch.Tokens
	// Key selects the preferred engine of a prompt without whole blocks, so that identical prompts go to the same
	// engine.
	Key uint64
	// Blocks are the chained hashes of the prompt's whole prefix blocks.
	Blocks []uint64
	// Class is ClassOf(Tokens).
	Class Class
	// Avoid lists upstreams that must not be selected, for example because an attempt failed there.
	Avoid []poplarwinch.UpstreamID
}

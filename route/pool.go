package route

import "github.com/poplarwinch/poplarwinch"

// Pool has the performance parameters of the engines of one service. All engines of a pool are alike.
type Pool struct {
	// Slots is the number of requests that an engine processes concurrently.
	Slots int
	// MemoryTokens is the KV cache capacity of one engine.
	MemoryTokens poplarwinch.Tokens
	// StepMillis is the fixed time of one decoding step.
	StepMillis float64
	// SequenceMillis is added to a step for each request that is decoding.
	SequenceMillis float64
	// ContextMillis is added to a step for each 1,000 tokens of context of a request that is decoding.
	ContextMillis float64
	// PrefillRate is the prefill rate in tokens per millisecond.
	PrefillRate float64
	// PairMillis is added to the prefill time for each million pairs of a token and an earlier one.
	PairMillis float64
	// ChunkTokens bounds the prompt tokens that one step prefills.
	ChunkTokens int
	// Stride is the number of steps of a scheduling pass while requests are decoding.
	Stride int
	// DomainDelayMillis is the longest one-way delay of the network between two failure domains; zero if it is not known.
	DomainDelayMillis float64
}

// Prefill returns the time in milliseconds in which one otherwise idle engine prefills a prompt.
func (p *Pool) Prefill(tokens poplarwinch.Tokens) float64 {
	n := float64(tokens)
	const pairsPerMillion = 1e6
	return n/p.PrefillRate + n*n/2/pairsPerMillion*p.PairMillis
}

// Step returns the time in milliseconds of a decoding step for a number of requests with a total context.
func (p *Pool) Step(requests int, context poplarwinch.Tokens) float64 {
	return p.StepMillis + float64(requests)*p.SequenceMillis + float64(context)/1000*p.ContextMillis
}

// Pass returns the time in milliseconds of a scheduling pass without prefill.
func (p *Pool) Pass(requests int, context poplarwinch.Tokens) float64 {
	return float64(max(p.Stride, 1)) * p.Step(requests, context)
}

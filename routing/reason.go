package routing

// Reason says why an upstream was selected.
type Reason string

const (
	// ReasonShortestWait means that the upstream had the smallest predicted time to first token of the candidates.
	ReasonShortestWait Reason = "shortest-wait"
	// ReasonPrefix means that the prompt's prefix is cached on the upstream, or hashes to it and the prediction is
	// within bounds.
	ReasonPrefix Reason = "prefix"
	// ReasonLongSet means that the best candidate for a long prompt was in the set of engines for long prompts.
	ReasonLongSet Reason = "long-set"
	// ReasonOnly means that no other upstream was eligible.
	ReasonOnly Reason = "only-candidate"
	// ReasonOtherDomain means that the own failure domain had no eligible upstream.
	ReasonOtherDomain Reason = "other-domain"
	// ReasonFewestRequests means that the server had the fewest requests of this instance among two random ones.
	ReasonFewestRequests Reason = "fewest-requests"
	// ReasonGroup means that the prompt exceeds one engine's memory and the upstream holds the largest share of a group.
	ReasonGroup Reason = "group"
	// ReasonBaseline means that a baseline policy selected the upstream.
	ReasonBaseline Reason = "baseline"
)

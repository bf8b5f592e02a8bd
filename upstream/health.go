package upstream

// Health is an upstream's reply to a health probe.
type Health struct {
	Ready   bool
	Leaving bool
	BootID  string
	Models  []LoadedModel
}

package upstream

// Kind says what an upstream serves.
type Kind string

// The kinds of upstreams.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

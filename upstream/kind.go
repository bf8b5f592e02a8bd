package upstream

// Kind distinguishes model engines from servers of plain services.
type Kind string

// The kinds of upstreams.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

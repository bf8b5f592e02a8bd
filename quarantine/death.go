package quarantine

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Death is the end of an engine's process while it ran a request.
type Death struct {
	Upstream poplarwinch.UpstreamID
	At       clock.Millis
}

// same reports whether two instances observed the same death. An engine needs longer than this to start again.
func (d Death) same(other Death) bool {
	return d.Upstream == other.Upstream && max(d.At-other.At, other.At-d.At) < 10*clock.Second
}

package quarantine

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Death is the crash of an engine while it ran a request.
type Death struct {
	Upstream poplarwinch.UpstreamID
	At       clock.Millis
}

// sameAs reports whether d and other are reports of the same death by two instances. Deaths of an engine within 10 s are
// the same one, since it takes longer than that to start again.
func (d Death) sameAs(other Death) bool {
	return d.Upstream == other.Upstream && max(d.At-other.At, other.At-d.At) < 10*clock.Second
}

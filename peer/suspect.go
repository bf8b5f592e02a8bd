package peer

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Suspect is a request that is suspected of crashing engines.
type Suspect struct {
	Fingerprint [16]byte
	Crashes     []Crash
}

// Crash is the crash of an engine while it ran the request.
type Crash struct {
	Upstream poplarwinch.UpstreamID
	At       clock.Millis // Unix time
}

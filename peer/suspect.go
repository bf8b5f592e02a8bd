package peer

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Suspect is a request that is suspected of crashing engines.
type Suspect struct {
	Fingerprint   [16]byte
	Crashes       []Crash
	RejectedUntil clock.Millis // Unix time, 0 when the request is not rejected
	ForgetAt      clock.Millis // Unix time
}

// Crash is the death of an engine that ran the request.
type Crash struct {
	Upstream poplarwinch.UpstreamID
	BootID   string
	At       clock.Millis // Unix time
	Isolated bool         // no other suspect ran on the engine
}

package peer

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Suspect is a request, or a part of prompts, that is suspected of crashing engines.
type Suspect struct {
	Fingerprint [16]byte
	// Position is the place of a part in its prompts, from 1; zero for a whole request.
	Position int
	Crashes  []Crash
}

// Crash is the crash of an engine while it ran the request.
type Crash struct {
	Upstream poplarwinch.UpstreamID
	Boot     int64        // tells apart the processes of the engine; zero if unknown
	At       clock.Millis // Unix time
	Silence  clock.Millis // time from the last sign of life to the crash
	Cleared  bool         // an engine has survived the suspect since
}

package quarantine

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// attributionWindow is the time after the end of an uncompleted run in which a death of the engine is still attributed
// to it. A broken stream is detected before the death of its engine, which is detected after at most 2.5 s.
const attributionWindow = 3 * clock.Second

// run is one execution of a request on an engine.
type run struct {
	upstream    poplarwinch.UpstreamID
	fingerprint Fingerprint
	// parts are the parts of the prompt that other requests may have in common.
	parts     []Fingerprint
	completed bool
	// aliveAt is the time of the start, or of the latest progress of the answer.
	aliveAt clock.Millis
	endedAt clock.Millis
}

// suspects returns the suspects that the death of the engine's process with the boot, detected now, makes.
func (r *run) suspects(boot int64, now clock.Millis) []Suspect {
	at := now
	if r.endedAt != 0 {
		at = r.endedAt
	}
	p := PromptSuspects{Request: r.fingerprint, Parts: r.parts}
	return p.suspects(Death{Upstream: r.upstream, Boot: boot, At: at, Silence: at - r.aliveAt})
}

// expired reports whether a death of the engine can no longer be attributed to the run.
func (r *run) expired(now clock.Millis) bool {
	return r.completed || r.endedAt != 0 && now-r.endedAt > attributionWindow
}

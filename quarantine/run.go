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
	startedAt clock.Millis
	// firstTokenAt is the time of the first token; zero if there was none.
	firstTokenAt clock.Millis
	endedAt      clock.Millis
}

// lastSeenAt returns the time up to which the run is known to have gone on.
func (r *run) lastSeenAt(now clock.Millis) clock.Millis {
	if r.endedAt != 0 {
		return r.endedAt
	}
	return now
}

// survived reports whether the engine has answered for SurvivalTime.
func (r *run) survived(now clock.Millis) bool {
	return r.firstTokenAt != 0 && r.lastSeenAt(now)-r.firstTokenAt >= SurvivalTime
}

// suspects returns the suspects that the death of the engine makes.
func (r *run) suspects(now clock.Millis) []Suspect {
	at := r.lastSeenAt(now)
	deaths := []Death{{Upstream: r.upstream, At: at, Ran: at - r.startedAt}}
	list := []Suspect{{Fingerprint: r.fingerprint, Deaths: deaths}}
	if r.survived(now) {
		return list
	}
	for i, f := range r.parts {
		list = append(list, Suspect{Fingerprint: f, Position: i + 1, Deaths: deaths})
	}
	return list
}

// expired reports whether a death of the engine can no longer be attributed to the run.
func (r *run) expired(now clock.Millis) bool {
	return r.completed || r.endedAt != 0 && now-r.endedAt > attributionWindow
}

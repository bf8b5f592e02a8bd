package quarantine

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// PromptSuspects are the fingerprints under which a crash may be blamed on a request: the request's own and those of its parts that
// other requests have in common.
type PromptSuspects struct {
	Request Fingerprint
	// Parts are in the order of the prompt.
	Parts []Fingerprint
}

// NewPromptSuspects returns the fingerprints for a request and the shared parts of its prompt, at most maxParts.
func NewPromptSuspects(request Fingerprint, model poplarwinch.ModelName, parts []poplarwinch.PromptPartID) PromptSuspects {
	p := PromptSuspects{Request: request}
	for _, id := range parts[:min(len(parts), maxParts)] {
		p.Parts = append(p.Parts, FingerprintOfPart(model, id))
	}
	return p
}

// maxParts bounds the parts of one prompt that may become suspects.
const maxParts = 32

// Crash is the crash of an engine during an attempt of a request.
type Crash struct {
	Death
	// Survived says that the engine had answered for SurvivalTime, so that none of the parts crashed it.
	Survived bool
}

// RecordCrash records the crash of an engine during an attempt.
func (g *Register) RecordCrash(p PromptSuspects, c Crash) {
	suspects := []Suspect{{Fingerprint: p.Request, Deaths: []Death{c.Death}}}
	if !c.Survived {
		for i, f := range p.Parts {
			suspects = append(suspects, Suspect{Fingerprint: f, Position: i + 1, Deaths: []Death{c.Death}})
		}
	}
	g.mutex.Lock()
	changed := g.merge(suspects)
	g.mutex.Unlock()
	if len(changed) > 0 {
		g.onChange()
	}
}

// RecordSurvival records that an engine began an answer for the request at the time and has survived for SurvivalTime.
func (g *Register) RecordSurvival(p PromptSuspects, began clock.Millis) {
	g.recordSound(p.Parts, began)
}

// RecordAnswer records a complete answer to a request that was sent at a time.
func (g *Register) RecordAnswer(p PromptSuspects, sentAt clock.Millis) {
	g.recordSound([]Fingerprint{p.Request}, sentAt)
}

// recordSound clears the suspects of the deaths up to a time.
func (g *Register) recordSound(list []Fingerprint, at clock.Millis) {
	g.mutex.Lock()
	changed := g.clearDeaths(list, at)
	g.mutex.Unlock()
	if changed {
		g.onChange()
	}
}

// clearDeaths clears the suspects of the deaths up to a time, also those that are reported later. It reports whether peers should be
// told. The caller must hold the mutex.
func (g *Register) clearDeaths(list []Fingerprint, at clock.Millis) bool {
	now := g.clock.Now()
	known := *g.suspects.Load()
	var cleared []Suspect
	for _, f := range list {
		g.sound.record(f, at, now)
		if s, ok := known[f]; ok && len(s.openDeaths()) > 0 {
			cleared = append(cleared, s)
		}
	}
	return len(g.merge(cleared)) > 0
}

// Blocked reports whether the request is rejected now because it, or a part of its prompt, crashes engines. The part is its position,
// from 1, or zero for the request itself.
func (g *Register) Blocked(p PromptSuspects) (part int, blocked bool) {
	blocks := *g.blocks.Load()
	if len(blocks) == 0 {
		return 0, false
	}
	now := g.clock.Now()
	for i, f := range append([]Fingerprint{p.Request}, p.Parts...) {
		b, ok := blocks[f]
		if ok && now >= b.from && now-b.lastDeathAt < quarantinePeriod && !g.tryAgain(f, b, now) {
			return i, true
		}
	}
	return 0, false
}

// tryAgain reports whether a request with a blocked suspect runs as a trial.
func (g *Register) tryAgain(f Fingerprint, b block, now clock.Millis) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.trials.take(f, b.lastDeathAt, now)
}

package quarantine

import (
	"slices"

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

// NewPromptSuspects returns the fingerprints for a request and the shared parts of its prompt.
func NewPromptSuspects(request Fingerprint, parts []poplarwinch.PromptPartID) PromptSuspects {
	p := PromptSuspects{Request: request}
	for _, id := range parts {
		p.Parts = append(p.Parts, FingerprintOfPart(id))
	}
	return p
}

// all returns the fingerprints of the request and then those of its parts.
func (p *PromptSuspects) all() []Fingerprint {
	return append([]Fingerprint{p.Request}, p.Parts...)
}

// hasAll reports whether the fingerprints are all among those of the request and its parts.
func (p *PromptSuspects) hasAll(list []Fingerprint) bool {
	if len(list) > len(p.Parts) {
		return false
	}
	own := map[Fingerprint]bool{p.Request: true}
	for _, f := range p.Parts {
		own[f] = true
	}
	return !slices.ContainsFunc(list, func(f Fingerprint) bool { return !own[f] })
}

// suspects returns the suspects that the death of an engine makes of the request and its parts, however far the answer had come.
func (p *PromptSuspects) suspects(d Death) []Suspect {
	deaths := []Death{d}
	list := []Suspect{{Fingerprint: p.Request, Deaths: deaths}}
	for i, f := range p.Parts {
		list = append(list, Suspect{Fingerprint: f, Position: i + 1, Deaths: deaths})
	}
	return list
}

// Crash is the crash of an engine during an attempt.
type Crash struct {
	Suspects PromptSuspects
	Death    Death
}

// RecordCrash records the crash of an engine during an attempt.
func (g *Register) RecordCrash(p PromptSuspects, d Death) {
	g.RecordCrashes([]Crash{{Suspects: p, Death: d}})
}

// RecordCrashes records crashes during several attempts, which is less work than one after the other.
func (g *Register) RecordCrashes(crashes []Crash) {
	var suspects []Suspect
	for i := range crashes {
		suspects = append(suspects, crashes[i].Suspects.suspects(crashes[i].Death)...)
	}
	g.mutex.Lock()
	changed := g.mergeOwn(suspects)
	g.mutex.Unlock()
	if len(changed) > 0 {
		g.onChange()
	}
}

// RecordProgress records that an engine goes on answering the request for a time after its first event. That proves nothing, since the
// engine may still crash, but of several suspects that may be at fault those are blamed first that speak less for themselves.
func (g *Register) RecordProgress(p PromptSuspects, answered clock.Millis) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, f := range p.Parts {
		g.survivals.record(f, survival{answered: answered}, g.clock.Now())
	}
}

// RecordRunProgress does the same for a request that was started on u with Start, whose engine was alive now.
func (g *Register) RecordRunProgress(u poplarwinch.UpstreamID, p PromptSuspects, answered clock.Millis) {
	g.mutex.Lock()
	for r := range g.runs[u] {
		if r.fingerprint == p.Request && r.endedAt == 0 {
			r.aliveAt = g.clock.Now()
		}
	}
	g.mutex.Unlock()
	g.RecordProgress(p, answered)
}

// RecordAnswer records that an engine completed a whole answer to the request at a time, from its first event to the last one. Nothing less
// shows that the request and the parts of its prompt are harmless: an engine may crash at any age of an answer. It clears them of all deaths
// up to then, since what crashes engines lets none of them complete an answer.
func (g *Register) RecordAnswer(p PromptSuspects, completedAt clock.Millis) {
	g.mutex.Lock()
	changed := g.clearDeaths(p.all(), completedAt)
	g.mutex.Unlock()
	if changed {
		g.onChange()
	}
}

// IsHeldAgainst reports whether deaths are held against the request or a part of its prompt.
func (g *Register) IsHeldAgainst(p PromptSuspects) bool {
	known := *g.suspects.Load()
	return slices.ContainsFunc(p.all(), func(f Fingerprint) bool {
		s, ok := known[f]
		return ok && len(s.unclearedDeaths()) > 0
	})
}

// clearDeaths clears the suspects of the deaths up to a time, also those that are reported later. It reports whether peers should be
// told. The caller must hold the mutex.
func (g *Register) clearDeaths(list []Fingerprint, at clock.Millis) bool {
	now := g.clock.Now()
	known := *g.suspects.Load()
	var cleared []Suspect
	for _, f := range list {
		g.survivals.record(f, survival{completedAt: at}, now)
		if s, ok := known[f]; ok && len(s.unclearedDeaths()) > 0 {
			cleared = append(cleared, s)
		}
	}
	return len(g.mergeOwn(cleared)) > 0
}

// Ruling says whether a request may run now.
type Ruling struct {
	// Blocked says that it may not, because it or a part of its prompt crashes engines. Part is the position of the part, from 1; zero for
	// the request itself.
	Blocked bool
	Part    int
	// Trial says that it is a single request that may run once in spite of a block.
	Trial bool
}

// Rule returns the ruling on a request. A trial is counted with the first ruling, so that the caller must keep it.
func (g *Register) Rule(p PromptSuspects) Ruling {
	now := g.clock.Now()
	blocks := g.currentBlocks(now)
	if len(blocks.byLeader) == 0 {
		return Ruling{}
	}
	var r Ruling
	for i, f := range p.all() {
		b, ok := blocks.byLeader[f]
		if !ok || now-b.lastDeathAt >= quarantinePeriod || !p.hasAll(b.others) {
			continue
		}
		if !g.allowsSingle(f, &b, now) {
			return Ruling{Blocked: true, Part: i}
		}
		r.Trial = true
	}
	return r
}

// IsSuspect reports whether the request has one of the suspects that may be at fault for crashes, also if it isn't rejected because
// another one that it doesn't have may be at fault as well.
func (g *Register) IsSuspect(p PromptSuspects) bool {
	blocks := g.currentBlocks(g.clock.Now())
	return len(blocks.suspects) > 0 && slices.ContainsFunc(p.all(), func(f Fingerprint) bool { return blocks.suspects[f] })
}

// currentBlocks returns the blocks at the time now.
func (g *Register) currentBlocks(now clock.Millis) *blockSet {
	blocks := g.blocks.Load()
	if !g.isOutdated(blocks, now) {
		return blocks
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.updateBlocks(now)
}

// updateBlocks does the same for a caller that holds the mutex.
func (g *Register) updateBlocks(now clock.Millis) *blockSet {
	blocks := g.blocks.Load()
	if g.isOutdated(blocks, now) {
		g.changed.Store(false)
		blocks = findBlocks(*g.suspects.Load(), g.survivals.of, now)
		g.blocks.Store(blocks)
	}
	return blocks
}

// isOutdated reports whether the blocks are to be derived again: further deaths count, or suspects have changed.
func (g *Register) isOutdated(b *blockSet, now clock.Millis) bool {
	return b.due != 0 && now >= b.due || g.changed.Load() && now-b.derivedAt >= minDeriveInterval
}

// allowsSingle reports whether a single request with a blocked suspect may run now.
func (g *Register) allowsSingle(f Fingerprint, b *block, now clock.Millis) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.halfOpen.allow(f, b, now)
}

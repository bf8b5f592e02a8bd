package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/invariant"
)

// defaultLimit is the maximum number of suspects that are kept: those of a few crashes of engines with long prompts.
const defaultLimit = 8192

// Register holds the running requests of this instance and the suspects of all instances.
type Register struct {
	clock    *clock.Clock
	limit    int
	violated invariant.Report

	// onChange is called after this instance has learned something of a suspect that its peers may not know.
	onChange func()

	// suspects is immutable and replaced on each change, so that Check needs no lock.
	suspects atomic.Pointer[map[Fingerprint]Suspect]
	// blocks is immutable and empty nearly always. It is derived anew when it is asked for after a change.
	blocks atomic.Pointer[blockSet]
	// changed says that suspects have changed since the blocks were derived.
	changed atomic.Bool
	// lastDeathMillis is the time in milliseconds of the last engine death that was reported to this instance.
	lastDeathMillis atomic.Int64
	mutex           sync.Mutex
	runs            map[poplarwinch.UpstreamID]map[*run]struct{}
	survivals       survivals
	halfOpen        halfOpen
	// found has the suspects of which this instance itself recorded a crash, or an answer that cleared them.
	found map[Fingerprint]bool
	// onSuspects is called after suspects have changed, also because of a peer's report.
	onSuspects func()
	// pending has the suspects that changed a short time ago.
	pending map[Fingerprint]pendingReport
	// unreported says that changes had no place in a report yet, and ownUnreported that some of them were found by this instance.
	unreported, ownUnreported bool
	// blockReports has the numbers of reports that had a blocked suspect since it changed last.
	blockReports map[Fingerprint]int
	// evicted is the number of suspects that were dropped because there were more than limit.
	evicted atomic.Int64
}

// New returns an empty register.
func New(opts ...Option) *Register {
	g := &Register{
		clock: clock.System(), limit: defaultLimit, violated: invariant.Log,
		onChange: func() {}, onSuspects: func() {}, found: map[Fingerprint]bool{},
		runs: map[poplarwinch.UpstreamID]map[*run]struct{}{}, halfOpen: newHalfOpen(),
		pending: map[Fingerprint]pendingReport{}, blockReports: map[Fingerprint]int{},
	}
	for _, opt := range opts {
		opt(g)
	}
	g.suspects.Store(&map[Fingerprint]Suspect{})
	g.blocks.Store(&blockSet{})
	return g
}

// Check returns whether and how the request may run now.
func (g *Register) Check(f Fingerprint) Verdict {
	s := (*g.suspects.Load())[f]
	return s.verdict(g.clock.Now())
}

// Start records that the request runs on u. It reports false if the request must not run there now, because it is
// rejected, or because it is a suspect and either u runs another suspect or this instance runs a copy of it. The caller
// must call end when the stream has ended. The parts are those of the prompt that other requests may have in common.
func (g *Register) Start(u poplarwinch.UpstreamID, f Fingerprint, parts ...Fingerprint) (end func(), ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	g.prune(u, now)
	verdict := g.Check(f)
	if verdict == VerdictReject || verdict == VerdictIsolate && !g.mayStartIsolated(u, f, now) {
		return func() {}, false
	}
	r := &run{upstream: u, fingerprint: f, parts: parts, aliveAt: now}
	if g.runs[u] == nil {
		g.runs[u] = map[*run]struct{}{}
	}
	g.runs[u][r] = struct{}{}
	g.assertStarted(f)
	return func() { g.end(r) }, true
}

// RecordCompletion records that the request completed on u or never reached it, so that a death of u is not attributed
// to it. It must be called before end.
func (g *Register) RecordCompletion(u poplarwinch.UpstreamID, f Fingerprint) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for r := range g.runs[u] {
		if r.fingerprint == f && !r.completed && r.endedAt == 0 {
			r.completed = true
			return
		}
	}
}

// RecordDeath makes the requests that ran on u suspects, since the process with the boot has died; zero if its boot isn't known. It returns
// the changed suspects, to be sent to peers.
func (g *Register) RecordDeath(u poplarwinch.UpstreamID, boot int64) []Suspect {
	g.lastDeathMillis.Store(int64(g.clock.Now()))
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	g.prune(u, now)
	var suspects []Suspect
	for r := range g.runs[u] {
		if r.completed {
			continue
		}
		suspects = append(suspects, r.suspects(boot, now)...)
	}
	delete(g.runs, u)
	return g.mergeOwn(suspects)
}

// Merge merges suspects received from peers.
func (g *Register) Merge(suspects []Suspect) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.merge(suspects)
}

// Suspects returns all suspects that have not expired, ordered by fingerprint.
func (g *Register) Suspects() []Suspect {
	now := g.clock.Now()
	var list []Suspect
	for _, s := range *g.suspects.Load() {
		if !s.expired(now) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// merge merges suspects and returns those that changed. The caller must hold the mutex.
func (g *Register) merge(suspects []Suspect) []Suspect {
	now := g.clock.Now()
	changed := g.changes(suspects, now)
	if len(changed) == 0 {
		return nil
	}
	next := maps.Clone(*g.suspects.Load())
	maps.DeleteFunc(next, func(f Fingerprint, s Suspect) bool {
		if s.expired(now) {
			g.forget(f)
			return true
		}
		return false
	})
	for _, s := range changed {
		next[s.Fingerprint] = s
		g.pending[s.Fingerprint] = pendingReport{changedAt: now}
	}
	g.evict(next)
	g.suspects.Store(&next)
	g.changed.Store(true)
	g.onSuspects()
	return changed
}

// mergeOwn merges suspects that this instance has found itself, and returns those that changed. The caller must hold the mutex.
func (g *Register) mergeOwn(suspects []Suspect) []Suspect {
	changed := g.merge(suspects)
	for _, s := range changed {
		if p, ok := g.pending[s.Fingerprint]; ok {
			p.isOwn = true
			g.pending[s.Fingerprint] = p
			g.found[s.Fingerprint] = true
		}
	}
	return changed
}

// changes returns the suspects that differ from those known so far, as they are after the merge. The caller must hold the mutex.
func (g *Register) changes(suspects []Suspect, now clock.Millis) []Suspect {
	known := *g.suspects.Load()
	changed := map[Fingerprint]Suspect{}
	for _, s := range suspects {
		old, ok := changed[s.Fingerprint]
		if !ok {
			old = known[s.Fingerprint]
		}
		if merged, differs := old.with(s, g.survivals.completedAt(s.Fingerprint), now); differs && !merged.expired(now) {
			changed[s.Fingerprint] = merged
		}
	}
	return slices.Collect(maps.Values(changed))
}

// evict removes suspects above the limit: those with the fewest deaths first and, among these, the oldest.
func (g *Register) evict(suspects map[Fingerprint]Suspect) {
	excess := len(suspects) - g.limit
	if excess <= 0 {
		return
	}
	list := slices.SortedFunc(maps.Values(suspects), func(a, b Suspect) int {
		if c := len(a.unclearedDeaths()) - len(b.unclearedDeaths()); c != 0 {
			return c
		}
		return int(a.Deaths[len(a.Deaths)-1].At - b.Deaths[len(b.Deaths)-1].At)
	})
	for _, s := range list[:excess] {
		delete(suspects, s.Fingerprint)
		g.forget(s.Fingerprint)
	}
	g.evicted.Add(int64(excess))
}

// forget removes what is kept for a suspect that is dropped. The caller must hold the mutex.
func (g *Register) forget(f Fingerprint) {
	delete(g.pending, f)
	delete(g.found, f)
	delete(g.halfOpen.allowedAt, f)
}

// mayStartIsolated reports whether the suspect f may start on u: u runs no other suspect and this instance no copy of f.
func (g *Register) mayStartIsolated(u poplarwinch.UpstreamID, f Fingerprint, now clock.Millis) bool {
	for r := range g.runs[u] {
		if r.endedAt == 0 && g.Check(r.fingerprint) != VerdictAllow {
			return false
		}
	}
	for _, runs := range g.runs {
		for r := range runs {
			if r.fingerprint == f && r.endedAt == 0 && !r.expired(now) {
				return false
			}
		}
	}
	return true
}

func (g *Register) end(r *run) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r.endedAt != 0 {
		return
	}
	r.endedAt = g.clock.Now()
	g.prune(r.upstream, r.endedAt)
}

// prune removes runs of u that have expired.
func (g *Register) prune(u poplarwinch.UpstreamID, now clock.Millis) {
	for r := range g.runs[u] {
		if r.endedAt != 0 && r.expired(now) {
			delete(g.runs[u], r)
		}
	}
	if len(g.runs[u]) == 0 {
		delete(g.runs, u)
	}
}

func (g *Register) assertStarted(f Fingerprint) {
	if g.Check(f) == VerdictReject {
		g.violated("quarantined-fingerprint-not-started", f.String())
	}
}

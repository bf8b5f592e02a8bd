package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// reportPeriod is the time after a change of a suspect for which it is reported to peers, which report it further.
	reportPeriod = 5 * clock.Second
	// reportedSuspects is the largest number of suspects in a report.
	reportedSuspects = 32
	// reportedBlocked is the largest number of suspects in a report that are blocked and did not change lately. Their groups take turns,
	// and the rest of the report is for changes, however many suspects are blocked.
	reportedBlocked = 8
	// reportedDeaths is the largest number of deaths in the report of a suspect that is not blocked.
	reportedDeaths = 8
)

// pendingReport is a change of a suspect that peers may not know yet.
type pendingReport struct {
	changedAt clock.Millis
	// reports is the number of reports that had the change.
	reports int
	// isOwn says that this instance found the change itself, and not a peer.
	isOwn bool
}

// Report returns what peers should know now: the blocked suspects, and those that changed a short time ago, with their deaths. If
// there are too many of one kind, those come first that were in the fewest reports, so that all are reported in turn.
func (g *Register) Report() []Suspect {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(*g.suspects.Load()) == 0 {
		return nil
	}
	now := g.clock.Now()
	blocks := g.updateBlocks(now)
	maps.DeleteFunc(g.pending, func(_ Fingerprint, p pendingReport) bool { return now-p.changedAt >= reportPeriod })
	report := g.unchangedBlocks(blocks)
	return append(report, g.recentChanges(blocks, reportedSuspects-len(report))...)
}

// unchangedBlocks returns the suspects of blocked groups that did not change lately. A peer that learns only some of a group would reject
// sound requests, so groups are reported whole, and larger ones than reportedBlocked only while they change. The caller must hold the mutex.
func (g *Register) unchangedBlocks(blocks *blockSet) []Suspect {
	maps.DeleteFunc(g.blockReports, func(f Fingerprint, _ int) bool { _, isBlocked := blocks.byLeader[f]; return !isBlocked })
	var leaders []Fingerprint
	for f, b := range blocks.byLeader {
		if _, isNew := g.pending[f]; !isNew && len(b.others) < reportedBlocked {
			leaders = append(leaders, f)
		}
	}
	slices.SortFunc(leaders, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(g.blockReports[a], g.blockReports[b]), bytes.Compare(a[:], b[:]))
	})
	var report []Suspect
	for _, f := range leaders {
		group := append([]Fingerprint{f}, blocks.byLeader[f].others...)
		if len(report)+len(group) > reportedBlocked {
			break
		}
		g.blockReports[f]++
		for _, member := range group {
			s := (*g.suspects.Load())[member]
			s.Deaths = enoughDeaths(s.unclearedDeaths())
			report = append(report, s)
		}
	}
	return report
}

// recentChanges returns the suspects that changed a short time ago, at most limit. The caller must hold the mutex.
func (g *Register) recentChanges(blocks *blockSet, limit int) []Suspect {
	var changes []change
	for f, p := range g.pending {
		changes = append(changes, change{suspect: (*g.suspects.Load())[f], isBlocked: blocks.suspects[f], reports: p.reports})
	}
	slices.SortFunc(changes, change.compare)
	var report []Suspect
	for _, c := range changes[:min(len(changes), limit)] {
		report = append(report, c.withDeathsToReport())
		p := g.pending[c.suspect.Fingerprint]
		p.reports++
		g.pending[c.suspect.Fingerprint] = p
	}
	g.unreported, g.ownUnreported = false, false
	for _, p := range g.pending {
		g.unreported = g.unreported || p.reports == 0
		g.ownUnreported = g.ownUnreported || p.isOwn && p.reports == 0
	}
	return report
}

// HasUnreported reports whether changes had no place in a report yet: those that this instance has found, or also those from peers.
func (g *Register) HasUnreported(fromPeers bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ownUnreported || fromPeers && g.unreported
}

// Evicted returns the number of suspects that were dropped because there were too many.
func (g *Register) Evicted() int64 { return g.evicted.Load() }

// Size returns the number of suspects, including those that expire with the next change.
func (g *Register) Size() int { return len(*g.suspects.Load()) }

// enoughDeaths returns the latest of the deaths of a blocked suspect that are enough to block it at a peer that knows of none.
func enoughDeaths(deaths []Death) []Death {
	for n := blockingDeaths; n < len(deaths); n++ {
		if _, ok := blockedFrom(deaths[len(deaths)-n:]); ok {
			return deaths[len(deaths)-n:]
		}
	}
	return deaths
}

// change is a suspect that changed a short time ago.
type change struct {
	suspect   Suspect
	isBlocked bool
	// reports is the number of reports since then.
	reports int
}

// compare orders changes by their importance to peers.
func (c change) compare(other change) int {
	if c.reports == other.reports && c.isBlocked != other.isBlocked {
		if c.isBlocked {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(c.reports, other.reports),
		cmp.Compare(len(other.suspect.Deaths), len(c.suspect.Deaths)),
		bytes.Compare(c.suspect.Fingerprint[:], other.suspect.Fingerprint[:]),
	)
}

// withDeathsToReport returns the suspect with the deaths that peers should know.
func (c change) withDeathsToReport() Suspect {
	s := c.suspect
	if c.isBlocked {
		s.Deaths = s.unclearedDeaths()
	} else {
		s.Deaths = atMost(s.Deaths, reportedDeaths)
	}
	return s
}

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
	// minOwnReports is the number of reports that have to have a change which this instance found itself, as one may be lost.
	minOwnReports = 2
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
// there are too many, those come first that were in the fewest reports since, so that all are told of in turn.
func (g *Register) Report() []Suspect {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	suspects := *g.suspects.Load()
	if len(suspects) == 0 {
		return nil
	}
	now := g.clock.Now()
	blocks := g.updateBlocks(now).suspects
	maps.DeleteFunc(g.pending, func(_ Fingerprint, p pendingReport) bool { return now-p.changedAt >= reportPeriod })
	var list []reported
	for f := range blocks {
		if _, isNew := g.pending[f]; !isNew {
			list = append(list, reported{suspect: suspects[f], blocked: true})
		}
	}
	for f, p := range g.pending {
		_, isBlocked := blocks[f]
		list = append(list, reported{suspect: suspects[f], blocked: isBlocked, isNew: true, reports: p.reports})
	}
	slices.SortFunc(list, reported.compare)
	var report []Suspect
	for _, r := range list[:min(len(list), reportedSuspects)] {
		report = append(report, r.withDeathsToReport())
		if p, ok := g.pending[r.suspect.Fingerprint]; ok {
			p.reports++
			g.pending[r.suspect.Fingerprint] = p
		}
	}
	return report
}

// HasUnreported reports whether this instance has found changes that were not in enough reports yet, because there are too many for one.
func (g *Register) HasUnreported() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	for _, p := range g.pending {
		if p.isOwn && p.reports < minOwnReports && now-p.changedAt < reportPeriod {
			return true
		}
	}
	return false
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

// reported is a suspect that may be part of a report.
type reported struct {
	suspect Suspect
	blocked bool
	// isNew says that the suspect changed a short time ago, and reports is the number of reports since.
	isNew   bool
	reports int
}

// compare orders suspects by their importance to peers.
func (r reported) compare(other reported) int {
	if r.blocked != other.blocked {
		if r.blocked {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(r.reports, other.reports),
		cmp.Compare(len(other.suspect.Deaths), len(r.suspect.Deaths)),
		bytes.Compare(r.suspect.Fingerprint[:], other.suspect.Fingerprint[:]),
	)
}

// withDeathsToReport returns the suspect with the deaths that peers should know.
func (r reported) withDeathsToReport() Suspect {
	s := r.suspect
	switch {
	case !r.blocked:
		s.Deaths = s.Deaths[max(0, len(s.Deaths)-reportedDeaths):]
	case r.isNew:
		s.Deaths = s.unclearedDeaths()
	default:
		s.Deaths = enoughDeaths(s.unclearedDeaths())
	}
	return s
}

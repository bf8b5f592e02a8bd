package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// lastingDeaths is the number of deaths from which a suspect is kept in the platform's store. One death less is known after a restart of
	// all instances than before it at most, and the many suspects of a single death cost no write.
	lastingDeaths = 2
	// storedDeaths is the largest number of deaths that are stored for a suspect.
	storedDeaths = 8
)

// lastingGroup are suspects with the same deaths, to be stored together: an instance that knows only some of the parts of a group would
// reject sound requests.
type lastingGroup struct {
	members []lastingMember
	// deaths are the latest ones that are not cleared, ordered by time.
	deaths []Death
}

// lastingMember is a suspect of a group; see Suspect.
type lastingMember struct {
	fingerprint Fingerprint
	position    int
}

// lastDeathAt returns the time of the latest death.
func (g *lastingGroup) lastDeathAt() clock.Millis { return g.deaths[len(g.deaths)-1].At }

// blocks reports whether the deaths are enough to block the suspects.
func (g *lastingGroup) blocks() bool {
	_, ok := blockedFrom(g.deaths)
	return ok && len(g.deaths) >= blockingDeaths
}

// hasSameMembers reports whether both groups have the same suspects, which are ordered.
func (g *lastingGroup) hasSameMembers(other *lastingGroup) bool {
	return slices.EqualFunc(g.members, other.members, func(a, b lastingMember) bool { return a.fingerprint == b.fingerprint })
}

// isStoredAs reports whether the stored group tells a restarted instance enough: the same suspects, with deaths that block them if these do,
// and that don't expire much earlier.
func (g *lastingGroup) isStoredAs(stored *lastingGroup) bool {
	return g.hasSameMembers(stored) && (stored.blocks() || len(stored.deaths) >= len(g.deaths)) &&
		g.lastDeathAt()-stored.lastDeathAt() < storedLag
}

// suspects returns the group as a report of its suspects.
func (g *lastingGroup) suspects() []Suspect {
	var list []Suspect
	for _, m := range g.members {
		list = append(list, Suspect{Fingerprint: m.fingerprint, Position: m.position, Deaths: g.deaths})
	}
	return list
}

// lasting returns the suspects to be stored, those with the most and the latest deaths first, and the time at which further deaths count
// against parts; zero if there are none. Suspects with a complete answer lately are left out unless they are blocked nevertheless.
func (g *Register) lasting() (groups []lastingGroup, due clock.Millis) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	blocks := g.updateBlocks(now)
	byUpstreams := map[string][]*lastingGroup{}
	for _, s := range *g.suspects.Load() {
		if len(s.Deaths) < lastingDeaths || s.expired(now) {
			continue
		}
		deaths, next := s.countingDeaths(now)
		due = earlier(due, next)
		if len(deaths) < lastingDeaths || g.survivals.completedAt(s.Fingerprint) > 0 && !blocks.suspects[s.Fingerprint] {
			continue
		}
		deaths = atMost(deaths, storedDeaths)
		addLasting(byUpstreams, lastingMember{s.Fingerprint, s.Position}, deaths)
	}
	for _, list := range byUpstreams {
		for _, group := range list {
			slices.SortFunc(group.members, func(a, b lastingMember) int { return bytes.Compare(a.fingerprint[:], b.fingerprint[:]) })
			groups = append(groups, *group)
		}
	}
	slices.SortFunc(groups, func(a, b lastingGroup) int {
		return cmp.Or(
			cmp.Compare(len(b.deaths), len(a.deaths)), cmp.Compare(b.lastDeathAt(), a.lastDeathAt()),
			bytes.Compare(a.members[0].fingerprint[:], b.members[0].fingerprint[:]),
		)
	})
	return groups, due
}

// addLasting adds a suspect to the group with the same deaths, or as a new one. The groups are kept by the names of the engines.
func addLasting(groups map[string][]*lastingGroup, m lastingMember, deaths []Death) {
	var names []string
	for _, d := range deaths {
		names = append(names, string(d.Upstream))
	}
	slices.Sort(names)
	key := strings.Join(names, "\n")
	c := candidate{deaths: deaths}
	for _, group := range groups[key] {
		if c.hasSameDeaths(group.deaths) {
			group.members = append(group.members, m)
			return
		}
	}
	groups[key] = append(groups[key], &lastingGroup{members: []lastingMember{m}, deaths: deaths})
}

// earlier returns the earlier one of two times of which zero means none.
func earlier(a, b clock.Millis) clock.Millis {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// countingDeaths returns the deaths that count against the suspect now, and the time at which the next one does; zero if there is none.
func (s *Suspect) countingDeaths(now clock.Millis) (deaths []Death, due clock.Millis) {
	for _, d := range s.unclearedDeaths() {
		at := d.At + partDelay
		if s.Position == 0 || at <= now {
			deaths = append(deaths, d)
		} else {
			due = earlier(due, at)
		}
	}
	return deaths, due
}

// restore merges suspects that were stored. Peers read them themselves, so that they are not reported as changes.
func (g *Register) restore(groups []lastingGroup) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var stored []Suspect
	for i := range groups {
		stored = append(stored, groups[i].suspects()...)
	}
	pending := maps.Clone(g.pending)
	for _, s := range g.merge(stored) {
		if _, wasPending := pending[s.Fingerprint]; !wasPending {
			delete(g.pending, s.Fingerprint)
		}
	}
}

// hasFound reports whether this instance itself recorded a crash or an answer of one of the suspects.
func (g *Register) hasFound(group *lastingGroup) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.ContainsFunc(group.members, func(m lastingMember) bool { return g.found[m.fingerprint] })
}

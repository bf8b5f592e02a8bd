package quarantine

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
)

// quarantinePeriod is how long a suspect is isolated, and a request that crashed two engines rejected, after the last
// death.
const quarantinePeriod = 10 * clock.Minute

// maxDeaths is the maximum number of deaths kept for a suspect: those of the few seconds until a part of prompts is blocked, on a
// large deployment.
const maxDeaths = 32

// Suspect is a request, or a part of prompts, that was running on an engine when the engine died, or whose stream had broken just
// before.
type Suspect struct {
	Fingerprint Fingerprint
	// Position is the place of a part in its prompts, from 1; zero for a whole request.
	Position int
	// Deaths are the distinct deaths ordered by time, at most maxDeaths; see atMost.
	Deaths []Death
}

// verdict returns whether and how the suspect may run at the time now.
func (s *Suspect) verdict(now clock.Millis) Verdict {
	switch {
	case s.expired(now):
		return VerdictAllow
	case len(s.unclearedDeaths()) > 1:
		return VerdictReject
	case len(s.unclearedDeaths()) == 1:
		return VerdictIsolate
	}
	return VerdictAllow
}

func (s *Suspect) expired(now clock.Millis) bool {
	return len(s.Deaths) == 0 || now-s.Deaths[len(s.Deaths)-1].At >= quarantinePeriod
}

// unclearedDeaths returns the deaths that are not cleared, ordered by time.
func (s *Suspect) unclearedDeaths() []Death {
	var open []Death
	for _, d := range s.Deaths {
		if !d.Cleared {
			open = append(open, d)
		}
	}
	return open
}

// with returns the suspect as known from both records of it and whether that differs from s. It does not change s. Deaths up to
// completedAt, the time of a complete answer, are cleared.
func (s Suspect) with(other Suspect, completedAt, now clock.Millis) (Suspect, bool) {
	merged := s
	merged.Fingerprint = other.Fingerprint
	merged.Position = max(s.Position, other.Position)
	changed := merged.Position != s.Position
	for _, d := range other.Deaths {
		d.At = min(d.At, now)
		d.Cleared = d.Cleared || d.At <= completedAt
		var added bool
		merged, added = merged.withDeath(d)
		changed = changed || added
	}
	return merged, changed
}

// indexOf returns the index of the known report of a death, or -1: one of the same start if there is one.
func (s *Suspect) indexOf(d Death) int {
	if d.Boot != 0 {
		if i := slices.IndexFunc(s.Deaths, func(o Death) bool { return o.Upstream == d.Upstream && o.Boot == d.Boot }); i >= 0 {
			return i
		}
	}
	return slices.IndexFunc(s.Deaths, d.sameAs)
}

// withDeath returns the suspect with d added and whether that changed it.
func (s Suspect) withDeath(d Death) (Suspect, bool) {
	i := s.indexOf(d)
	if i >= 0 && s.Deaths[i].with(d) == s.Deaths[i] {
		return s, false
	}
	known := s.Deaths
	s.Deaths = slices.Clone(known)
	for ; i >= 0; i = s.indexOf(d) { // what is known of a death now may show that another report is about it too
		d = s.Deaths[i].with(d)
		s.Deaths = slices.Delete(s.Deaths, i, i+1)
	}
	s.Deaths = append(s.Deaths, d)
	slices.SortFunc(s.Deaths, func(a, b Death) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Boot, b.Boot))
	})
	s.Deaths = atMost(s.Deaths, maxDeaths)
	return s, !slices.Equal(s.Deaths, known)
}

// atMost returns at most limit of the deaths, which are ordered by time: the first one that is not cleared and the latest ones. Without the
// first one, many engines that die at the same time would hide that others died before, and end the block of what crashes them.
func atMost(deaths []Death, limit int) []Death {
	dropped := len(deaths) - limit
	if dropped <= 0 {
		return deaths
	}
	first := slices.IndexFunc(deaths, func(d Death) bool { return !d.Cleared })
	if first < 0 || first > dropped {
		return deaths[dropped:]
	}
	return append([]Death{deaths[first]}, deaths[dropped+1:]...)
}

package quarantine

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
)

// quarantinePeriod is how long a suspect is isolated, and a request that crashed two engines rejected, after the last
// death.
const quarantinePeriod = 10 * clock.Minute

// maxDeaths is the maximum number of deaths kept for a suspect. Two determine the verdict; more are kept because further
// reports of the same deaths may arrive.
const maxDeaths = 8

// Suspect is a request that was running on an engine when the engine died, or whose stream had broken just before.
type Suspect struct {
	Fingerprint Fingerprint
	// Deaths are the distinct deaths ordered by time, at most maxDeaths.
	Deaths []Death
}

// verdict returns whether and how the suspect may run at the time now.
func (s *Suspect) verdict(now clock.Millis) Verdict {
	switch {
	case s.expired(now):
		return VerdictAllow
	case len(s.Deaths) > 1:
		return VerdictReject
	}
	return VerdictIsolate
}

func (s *Suspect) expired(now clock.Millis) bool {
	return len(s.Deaths) == 0 || now-s.Deaths[len(s.Deaths)-1].At >= quarantinePeriod
}

// withDeath returns the suspect with d added and whether that changed it.
func (s Suspect) withDeath(d Death) (Suspect, bool) {
	s.Deaths = slices.Clone(s.Deaths)
	if i := slices.IndexFunc(s.Deaths, d.sameAs); i < 0 {
		s.Deaths = append(s.Deaths, d)
	} else if d.At < s.Deaths[i].At {
		// All instances keep the earliest report of a death, so that they converge.
		s.Deaths[i].At = d.At
	} else {
		return s, false
	}
	slices.SortFunc(s.Deaths, func(a, b Death) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Upstream, b.Upstream))
	})
	s.Deaths = s.Deaths[max(0, len(s.Deaths)-maxDeaths):]
	return s, true
}

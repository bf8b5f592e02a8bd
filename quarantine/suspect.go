package quarantine

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
)

// A request that crashed two engines is rejected for this long after the second crash, and a suspect is isolated for
// this long after its last crash.
const suspicion = 10 * clock.Minute

// Two deaths decide the verdict; more are kept because reports of the same death may still arrive.
const maxDeaths = 8

// Suspect is a request that ran on an engine that died.
type Suspect struct {
	Fingerprint Fingerprint
	// Deaths are distinct deaths in order of time, at most eight.
	Deaths []Death
}

// verdict returns how the suspect may run at a time.
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
	return len(s.Deaths) == 0 || now-s.Deaths[len(s.Deaths)-1].At >= suspicion
}

// with returns the suspect with one more death, and whether that one was news.
func (s Suspect) with(d Death) (Suspect, bool) {
	s.Deaths = slices.Clone(s.Deaths)
	if i := slices.IndexFunc(s.Deaths, d.same); i < 0 {
		s.Deaths = append(s.Deaths, d)
	} else if d.At < s.Deaths[i].At {
		// All instances keep the earliest report of a death, so that they agree.
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

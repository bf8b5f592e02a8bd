package quarantine

import (
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
)

// A request that crashed two engines is rejected for this long after the second crash, and a suspect is isolated for
// this long after its last crash.
const suspicion = 10 * clock.Minute

// Suspect is a request that ran on an engine that died.
type Suspect struct {
	Fingerprint Fingerprint
	// Deaths are distinct deaths in order of time, at most two.
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

// with returns the suspect with one more death, and whether that one was new.
func (s Suspect) with(d Death) (Suspect, bool) {
	for i, known := range s.Deaths {
		if known.same(d) {
			if d.At >= known.At {
				return s, false
			}
			s.Deaths = slices.Clone(s.Deaths)
			s.Deaths[i].At = d.At
			return s, true
		}
	}
	s.Deaths = append(slices.Clone(s.Deaths), d)
	slices.SortFunc(s.Deaths, func(a, b Death) int { return int(a.At - b.At) })
	if len(s.Deaths) > 2 {
		s.Deaths = s.Deaths[len(s.Deaths)-2:]
	}
	return s, true
}

package quarantine

import "github.com/poplarwinch/poplarwinch/clock"

const (
	// firstProgress is the time after the first event of an answer at which its progress is recorded first. It is recorded again each time
	// that it has grown by a quarter, so that long answers cost little.
	firstProgress clock.Millis = 500
	// maxSurvivals is the number of suspects in a generation of survivals.
	maxSurvivals = 4096
	// survivalRetention is the time for which survivals are kept at least, unless there are more than maxSurvivals.
	survivalRetention = 30 * clock.Second
)

// survival is what engines have survived of a suspect lately.
type survival struct {
	// completedAt is the latest time at which an engine completed an answer; zero if none did.
	completedAt clock.Millis
	// answered is the longest time for which an engine went on answering after its first event.
	answered clock.Millis
}

// with returns the survival as known from both.
func (s survival) with(other survival) survival {
	return survival{completedAt: max(s.completedAt, other.completedAt), answered: max(s.answered, other.answered)}
}

// NextProgress returns the time after the first event of an answer at which its progress is to be recorded, after it was recorded at a
// time, or zero if it was not.
func NextProgress(recorded clock.Millis) clock.Millis { return max(firstProgress, recorded+recorded/4) }

// survivals has what engines have survived lately, so that deaths which are reported later are cleared at once. Two generations bound its
// size.
type survivals struct {
	recent, older map[Fingerprint]survival
	// startedAt is the start of the recent generation.
	startedAt clock.Millis
}

// record adds a survival of a suspect.
func (s *survivals) record(f Fingerprint, added survival, now clock.Millis) {
	if s.recent == nil || len(s.recent) >= maxSurvivals || now-s.startedAt >= survivalRetention {
		s.recent, s.older, s.startedAt = map[Fingerprint]survival{}, s.recent, now
	}
	s.recent[f] = s.recent[f].with(added)
}

// of returns what is known of a suspect.
func (s *survivals) of(f Fingerprint) survival { return s.recent[f].with(s.older[f]) }

// completedAt returns the latest time of a complete answer for a suspect; zero if there is none.
func (s *survivals) completedAt(f Fingerprint) clock.Millis { return s.of(f).completedAt }

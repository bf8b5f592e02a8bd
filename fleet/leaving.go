package fleet

import "github.com/poplarwinch/poplarwinch/clock"

// leaving is the notice of a server that is about to exit.
type leaving struct {
	statement
	// said says that the server said so in an answer, to this instance or to a peer.
	said bool
}

// isLeaving reports whether the server or the list of servers says that it is leaving. Neither takes back what the other says: either
// may be older.
func (m *serverState) isLeaving() bool { return m.server.Leaving || m.notices.leaving.said }

// observe records whether an answer has the notice and reports whether that is new.
func (l *leaving) observe(says bool, sentAt, now clock.Millis) bool {
	switch {
	case says:
		return l.begin(now, SourceAnswer) && l.set(true)
	case l.said:
		return l.end(sentAt, SourceAnswer) && l.set(false)
	}
	return false
}

// merge records what a peer reports and reports whether that is new.
func (l *leaving) merge(r LeavingReport, now clock.Millis) bool {
	switch at := now - r.Age; {
	case !r.Known:
		return false
	case r.Leaving && !l.said:
		return l.begin(at, SourcePeer) && l.set(true)
	case !r.Leaving && l.said:
		return l.end(at, SourcePeer) && l.set(false)
	}
	return false
}

func (l *leaving) set(said bool) bool {
	changed := said != l.said
	l.said = said
	return changed
}

// LeavingReport is what an instance has seen of a server's leaving.
type LeavingReport struct {
	// Known says that the instance has seen it. Leaving is false then if the server no longer says so.
	Known   bool
	Leaving bool
	// Age is the time since then.
	Age clock.Millis
}

// report returns the notice for a report to peers.
func (l *leaving) report(now clock.Millis) LeavingReport {
	if !l.isNews(l.said, now) {
		return LeavingReport{}
	}
	return LeavingReport{Known: true, Leaving: l.said, Age: now - l.at}
}

// summary returns the notice for a summary of a cell: whether any instance has it.
func (l *leaving) summary(now clock.Millis) LeavingReport {
	if !l.said {
		return LeavingReport{}
	}
	return LeavingReport{Known: true, Leaving: true, Age: now - l.at}
}

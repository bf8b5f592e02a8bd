package fleet

import "github.com/poplarwinch/poplarwinch/clock"

// leaving is the notice of a server that is about to exit.
type leaving struct {
	statement
	holds bool
}

// observe records whether an answer has the notice and reports whether that is new.
func (l *leaving) observe(says bool, sentAt, now clock.Millis) bool {
	switch {
	case says:
		return l.begin(now, SourceAnswer) && l.set(true)
	case l.holds:
		return l.end(sentAt, SourceAnswer) && l.set(false)
	}
	return false
}

// merge records what a peer reports and reports whether that is new.
func (l *leaving) merge(r LeavingReport, now clock.Millis) bool {
	switch at := now - r.Age; {
	case !r.Known:
		return false
	case r.Leaving && !l.holds:
		return l.begin(at, SourcePeer) && l.set(true)
	case !r.Leaving && l.holds:
		return l.end(at, SourcePeer) && l.set(false)
	}
	return false
}

// list records whether the list of servers says that the server is leaving. A list that doesn't may be older than an answer that does.
func (l *leaving) list(says bool, now clock.Millis) {
	switch {
	case says && !l.holds:
		l.begin(now, SourceList)
		l.holds = true
	case !says && l.source == SourceList:
		l.holds = false
	}
}

func (l *leaving) set(holds bool) bool {
	changed := holds != l.holds
	l.holds = holds
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
	if !l.isNews(l.holds, now) {
		return LeavingReport{}
	}
	return LeavingReport{Known: true, Leaving: l.holds, Age: now - l.at}
}

// summary returns the notice for a summary of a cell: whether any instance has it.
func (l *leaving) summary(now clock.Millis) LeavingReport {
	if !l.holds || l.source == SourceList {
		return LeavingReport{}
	}
	return LeavingReport{Known: true, Leaving: true, Age: now - l.at}
}

package fleet

import "github.com/poplarwinch/poplarwinch/clock"

// noticeReportInterval is the time between two reports of the notices of a server without load.
const noticeReportInterval = clock.Second

// Notice is what a server says of itself in the head of an answer. The zero Notice says nothing.
type Notice struct {
	// Leaving says that the server is about to exit and accepts no new requests.
	Leaving bool
	// Rest is the time for which the server wants no requests from this instance.
	Rest clock.Millis
	// Limit is the rate of requests that the server accepts from all instances together; zero means no limit.
	Limit RequestRate
	// Cold is what the server says of its coldness.
	Cold Coldness
}

// NoticeSource says from whom an instance has a notice. What the list of servers says is kept apart.
type NoticeSource string

const (
	// SourceAnswer means that the server answered this instance. Only these notices are passed on.
	SourceAnswer NoticeSource = "answer"
	// SourcePeer means that the server answered another instance.
	SourcePeer NoticeSource = "peer"
)

// statement is when and from whom an instance has learned one part of a notice, or that it has ended. Times are those of the fleet's
// clock, which counts the time for which the machine was suspended.
type statement struct {
	at     clock.Millis
	source NoticeSource
}

// begin records a statement that was made at a time, and reports false if a later one is known.
func (s *statement) begin(at clock.Millis, source NoticeSource) bool {
	if at < s.at {
		return false
	}
	s.at, s.source = at, source
	return true
}

// end records an answer without the statement, to a request that was sent at a time. It reports false for an answer to a request that
// was sent before the statement was made: the answer may be older.
func (s *statement) end(sentAt clock.Millis, source NoticeSource) bool {
	if sentAt <= s.at {
		return false
	}
	s.at, s.source = sentAt, source
	return true
}

// isNews reports whether peers are to be told of a statement that holds or has ended.
func (s *statement) isNews(holds bool, now clock.Millis) bool {
	return s.source == SourceAnswer && (holds || now-s.at < reportTimeout)
}

// notices is what an instance knows of a server's notices. They concern one process: a server that was started anew has none.
type notices struct {
	leaving leaving
	rest    rest
	limit   limit
	// cold is nil for a server that was never cold, which leaves out its size.
	cold *cold
	// reportedAt is the time of the latest report to peers.
	reportedAt clock.Millis
}

// known reports whether any notice holds.
func (n *notices) known() bool {
	return n.leaving.said || n.limit.rate > 0 || n.rest.returning || n.cold != nil
}

// observe records the notice in an answer to a request that was sent at a time, and reports whether it changes anything.
func (n *notices) observe(o Notice, sentAt, now clock.Millis) bool {
	left := n.leaving.observe(o.Leaving, sentAt, now)
	rested := n.rest.observe(o.Rest, now)
	n.rest.answered(sentAt)
	limited := n.limit.observe(o.Limit, sentAt, now)
	changed := left || rested || limited
	if changed {
		n.reportedAt = 0
	}
	return changed
}

// merge records what a peer reports and reports whether it changes anything.
func (n *notices) merge(r NoticeReport, now clock.Millis) bool {
	left := n.leaving.merge(r.Leaving, now)
	limited := n.limit.merge(r.Limit, now)
	n.rest.merge(r.Rest, now)
	return left || limited
}

// report returns the notices for a report to peers, if it is due or the server is part of the report anyway.
func (n *notices) report(boot int64, now clock.Millis, listed bool) NoticeReport {
	r := NoticeReport{Leaving: n.leaving.report(now), Limit: n.limit.report(now), Rest: n.rest.left(now)}
	if !r.Known() || !listed && n.reportedAt != 0 && now-n.reportedAt < noticeReportInterval {
		return NoticeReport{}
	}
	n.reportedAt = now
	r.Boot = boot
	return r
}

// summary returns the notices for a summary of a cell, which says of a limit only that there is one.
func (n *notices) summary(boot int64, now clock.Millis) NoticeReport {
	r := n.forward(boot, now)
	r.Limit = n.limit.summary()
	return r
}

// forward returns the notices that are passed on in summaries of other cells.
func (n *notices) forward(boot int64, now clock.Millis) NoticeReport {
	r := NoticeReport{Leaving: n.leaving.summary(now)}
	if r.Leaving.Known {
		r.Boot = boot
	}
	return r
}

// NoticeReport is what an instance reports to others of a server's notices. The zero NoticeReport says nothing.
type NoticeReport struct {
	// Boot is the start of the server's process.
	Boot    int64
	Leaving LeavingReport
	Limit   LimitReport
	// Rest is the time for which the server still wants no requests from the reporting instance.
	Rest clock.Millis
}

// Known reports whether the report says anything.
func (r *NoticeReport) Known() bool { return r.Leaving.Known || r.Limit.Known || r.Rest > 0 }

// Observe records the notice in an answer of the server to a request that was sent at sentAt, and reports whether that is new. An
// answer without a statement ends it only if the request was sent after the statement was made; a sentAt of zero ends none. Answers of
// an earlier process of the server are ignored.
func (f *Fleet) Observe(s Server, n Notice, sentAt clock.Millis) bool {
	f.mutex.Lock()
	m := f.servers[s.ID]
	if m == nil || !m.server.same(s) {
		f.mutex.Unlock()
		return false
	}
	now := f.clock.Now()
	changed := m.notices.observe(n, sentAt, now)
	changed = f.observeColdness(m, n.Cold, now, sentAt, now+n.Cold.Left, SourceAnswer, now) || changed
	reach := ReachBusy
	if !f.isNear(m) {
		reach = ReachDistant
	}
	f.mutex.Unlock()
	if changed {
		f.notifyChange(reach)
	}
	return changed
}

package fleet

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// maxSummaryServers is the largest number of servers in a summary of a whole cell. A summary of a larger cell has the least
	// loaded servers only.
	maxSummaryServers = 64
	// maxForwardedServers is the largest number of servers in all summaries that are forwarded together.
	maxForwardedServers = 128
	// summaryTimeout is the age above which a summary is ignored.
	summaryTimeout = clock.Second
)

// Summary is the load of all instances on the servers of one cell.
type Summary struct {
	Domain poplarwinch.FailureDomain
	Cell   Cell
	// Partial says that only the listed servers are known. Otherwise the cell's other servers have no load.
	Partial bool
	// Age is the time since the cell made the summary. It is not zero if the summary was forwarded; the loads are then brought up to
	// date by the forwarder.
	Age     clock.Millis
	Servers []ServerWork
}

// summaryKey identifies the cell that a summary describes.
type summaryKey struct {
	domain poplarwinch.FailureDomain
	cell   Cell
}

// receivedSummary is a summary with the time of its arrival.
type receivedSummary struct {
	Summary
	at clock.Millis
	// madeAt is the time at which the cell made the summary.
	madeAt clock.Millis
	// loads has the load of the covered servers by service.
	loads map[poplarwinch.ServiceName][]summaryLoad
}

// summaryLoad is the load on one server by a summary.
type summaryLoad struct {
	server *serverState
	load   Load
	// limited says that the server has named a limit.
	limited bool
}

// Summary returns the known load of all instances on the servers of the own cell.
func (f *Fleet) Summary() Summary {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	s := Summary{Domain: f.domain, Cell: f.cell}
	for _, list := range f.near {
		for _, m := range list {
			w := ServerWork{ID: m.server.ID, Load: m.knownLoad(now), Notice: m.notices.summary(m.server.Boot, now)}
			w.Notice.Limit.Known = w.Notice.Limit.Known || m.isCold(now) // other cells leave it to this one
			s.Servers = append(s.Servers, w)
		}
	}
	return s.shorten(maxSummaryServers)
}

// Summaries returns what is known of the servers of the other cells that sent a summary recently.
func (f *Fleet) Summaries() []Summary {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	var list []Summary
	for _, r := range f.summaries {
		if now-r.madeAt > summaryTimeout {
			continue
		}
		s := Summary{Domain: r.Domain, Cell: r.Cell, Partial: r.Partial, Age: now - r.madeAt}
		for _, loads := range r.loads {
			for i := range loads {
				m := loads[i].server
				w := ServerWork{ID: m.server.ID, Load: loads[i].current(now, now-r.at), Notice: m.notices.forward(m.server.Boot, now)}
				w.Notice.Limit.Known = loads[i].limited
				s.Servers = append(s.Servers, w)
			}
		}
		list = append(list, s)
	}
	for i := range list {
		list[i] = list[i].shorten(maxForwardedServers / len(list))
	}
	return list
}

// shorten leaves out the servers without load, which are known to have none, or, of more than limit servers with load, all but the
// least loaded ones.
func (s Summary) shorten(limit int) Summary {
	if !s.Partial {
		loaded := slices.DeleteFunc(slices.Clone(s.Servers), func(w ServerWork) bool { return w.Load == (Load{}) && !w.Notice.Known() })
		if len(loaded) <= limit {
			s.Servers = loaded
			return s
		}
	}
	slices.SortFunc(s.Servers, func(a, b ServerWork) int {
		return cmp.Or(cmp.Compare(a.Load.Prefill, b.Load.Prefill), cmp.Compare(a.Load.Requests, b.Load.Requests), cmp.Compare(a.ID, b.ID))
	})
	if len(s.Servers) > limit {
		s.Servers, s.Partial = s.Servers[:limit], true
	}
	return s
}

// MergeSummary replaces the summary of another cell by one that was made later. Waiting requests are woken if it has a new notice. Those of cells that overlap it, from before or after a change of the number
// of cells, are dropped.
func (f *Fleet) MergeSummary(s Summary) {
	if f.mergeSummary(s) {
		f.wakeWaiters()
	}
}

// mergeSummary is MergeSummary without waking waiting requests. It reports whether it changes a notice.
func (f *Fleet) mergeSummary(s Summary) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if s.Domain == f.domain && s.Cell == f.cell {
		return false
	}
	now := f.clock.Now()
	r := &receivedSummary{Summary: s, at: now, madeAt: now - max(s.Age, 0)}
	own := summaryKey{s.Domain, s.Cell}
	if o := f.summaries[own]; o != nil && o.madeAt > r.madeAt {
		return false
	}
	for key, o := range f.summaries {
		if key.domain == s.Domain && key.cell.Count != s.Cell.Count || now-o.madeAt > summaryTimeout {
			delete(f.summaries, key)
		}
	}
	f.summaries[own] = r
	f.resolveSummary(r)
	return f.mergeLeaving(s.Servers, now)
}

// mergeLeaving records which servers of a summary are leaving and reports whether that is new. The caller holds the lock.
func (f *Fleet) mergeLeaving(servers []ServerWork, now clock.Millis) bool {
	changed := false
	for i := range servers {
		if w := &servers[i]; w.Notice.Leaving.Known {
			m := f.servers[w.ID]
			changed = m != nil && m.mergeNotice(NoticeReport{Boot: w.Notice.Boot, Leaving: w.Notice.Leaving}, now) || changed
		}
	}
	return changed
}

// resolveSummary determines the servers that a summary covers. The caller holds the lock.
func (f *Fleet) resolveSummary(r *receivedSummary) {
	r.loads = map[poplarwinch.ServiceName][]summaryLoad{}
	listed := make(map[poplarwinch.UpstreamID]ServerWork, len(r.Servers))
	for i := range r.Servers {
		listed[r.Servers[i].ID] = r.Servers[i]
	}
	add := func(m *serverState) {
		if !f.isNear(m) {
			w := listed[m.server.ID]
			r.loads[m.server.Service] = append(r.loads[m.server.Service], summaryLoad{server: m, load: w.Load, limited: w.Notice.Limit.Known})
		}
	}
	if r.Partial {
		for id := range listed {
			if m := f.servers[id]; m != nil && !m.server.Leaving {
				add(m)
			}
		}
		return
	}
	for _, list := range f.usable {
		for _, m := range list {
			if m.place.Domain == r.Domain && r.Cell.Contains(m.place.Position, m.place.Total) {
				add(m)
			}
		}
	}
}

// current returns the load on the server: what is known of it here, raised to what the summary of the age says.
func (s *summaryLoad) current(now, age clock.Millis) Load {
	l := s.server.knownLoad(now)
	reported := s.load
	reported.Due -= age
	reported.PendingDue -= age
	if reported.Prefilling > 0 {
		reported.Prefill = max(reported.Prefill-age, minPrefillLeft)
	}
	return l.mergeMax(reported)
}

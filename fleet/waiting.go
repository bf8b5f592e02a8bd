package fleet

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/route"
)

// maxReportedServices bounds the services whose waiting requests a report lists by class, and so the size of a datagram. Requests of
// further services are reported as those of services without differing priorities.
const maxReportedServices = 4

// waitingNotifyInterval is the shortest time between two notices to peers that requests have begun to wait. Busy instances report changes of
// load more often in any case; one for each waiting request would add up to a third to their datagrams.
const waitingNotifyInterval clock.Millis = 500

// ClassCounts has the number of requests of each priority class.
type ClassCounts [route.PriorityClasses]int

// before returns the number of requests of more urgent classes.
func (c *ClassCounts) before(class int) int {
	n := 0
	for _, count := range c[:min(max(class, 0), len(c))] {
		n += count
	}
	return n
}

// total returns the number of requests of all classes.
func (c *ClassCounts) total() int { return c.before(len(c)) }

// WaitingCount is the number of an instance's requests that wait for a server of the service. The service is empty for those of all
// services without differing priorities; these are counted in the first class.
type WaitingCount struct {
	Service poplarwinch.ServiceName
	Counts  ClassCounts
}

// WithoutClasses returns the counts as those of services without differing priorities.
func WithoutClasses(list []WaitingCount) []WaitingCount {
	sum := WaitingCount{}
	for i := range list {
		sum.Counts[0] += list[i].Counts.total()
	}
	if sum.Counts[0] == 0 {
		return nil
	}
	return []WaitingCount{sum}
}

// CountWaiting counts a request as waiting for a server of a service without differing priorities, until the returned function is
// called. It does not block.
func (f *Fleet) CountWaiting() (end func()) { return f.countWaiting("", 0) }

// CountWaitingClass counts a request as waiting for a server until the returned function is called. Peers are notified of the first
// one of its class, at most every waitingNotifyInterval.
func (f *Fleet) CountWaitingClass(service poplarwinch.ServiceName, class int) (end func()) {
	end = f.countWaiting(service, class)
	f.mutex.Lock()
	now := f.clock.Now()
	notify := f.waiting[service][class] == 1 && (f.waitingNotifiedAt == 0 || now-f.waitingNotifiedAt >= waitingNotifyInterval)
	if notify {
		f.waitingNotifiedAt = now
	}
	f.mutex.Unlock()
	if notify {
		f.onChange(ReachNear)
	}
	return end
}

func (f *Fleet) countWaiting(service poplarwinch.ServiceName, class int) (end func()) {
	f.addWaiting(service, class, 1)
	return func() { f.addWaiting(service, class, -1) }
}

func (f *Fleet) addWaiting(service poplarwinch.ServiceName, class, n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	counts := f.waiting[service]
	counts[class] += n
	if counts == (ClassCounts{}) {
		delete(f.waiting, service)
		return
	}
	f.waiting[service] = counts
}

// reportedWaiting returns the waiting requests for a report: the services with the most urgent ones by class, the others as one sum. The
// caller holds the lock.
func (f *Fleet) reportedWaiting() []WaitingCount {
	if len(f.waiting) == 0 {
		return nil
	}
	list := make([]WaitingCount, 0, len(f.waiting))
	for service, counts := range f.waiting {
		list = append(list, WaitingCount{Service: service, Counts: counts})
	}
	slices.SortFunc(list, func(a, b WaitingCount) int {
		if (a.Service == "") != (b.Service == "") {
			return cmp.Compare(b.Service, a.Service)
		}
		return cmp.Or(slices.Compare(b.Counts[:], a.Counts[:]), cmp.Compare(a.Service, b.Service))
	})
	if len(list) <= maxReportedServices {
		return list
	}
	return append(list[:maxReportedServices:maxReportedServices], WithoutClasses(list[maxReportedServices:])...)
}

// Waiting returns the number of requests that wait for a server at this instance and, by their last reports, at its
// peers.
func (f *Fleet) Waiting() int {
	n := 0
	f.eachWaiting(func(w *WaitingCount) { n += w.Counts.total() })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, counts := range f.waiting {
		n += counts.total()
	}
	return n
}

// OwnWaiting returns the number of this instance's requests that wait for a server, by priority class.
func (f *Fleet) OwnWaiting() ClassCounts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var sum ClassCounts
	for _, counts := range f.waiting {
		for class, n := range counts {
			sum[class] += n
		}
	}
	return sum
}

// WaitingBefore returns the number of requests of the service that wait at peers of the cell and are more urgent than the class, by
// their last reports.
func (f *Fleet) WaitingBefore(service poplarwinch.ServiceName, class int) int {
	n := 0
	f.eachWaiting(func(w *WaitingCount) {
		if w.Service == service {
			n += w.Counts.before(class)
		}
	})
	return n
}

// WaitingPeers returns the number of peers at which requests wait for a server, by their last reports.
func (f *Fleet) WaitingPeers() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n, now := 0, f.clock.Now()
	for _, p := range f.peerReports {
		if len(p.waiting) > 0 && now-p.at <= reportTimeout {
			n++
		}
	}
	return n
}

// eachWaiting calls visit for the counts of the peers' reports that are not too old.
func (f *Fleet) eachWaiting(visit func(w *WaitingCount)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	for _, p := range f.peerReports {
		if now-p.at > reportTimeout {
			continue
		}
		for i := range p.waiting {
			visit(&p.waiting[i])
		}
	}
}

package fleet

import (
	"hash/fnv"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// heardTimeout is the age of the latest report of an instance from which its slots are no longer used by others. Reports come once a
	// second at least.
	heardTimeout clock.Millis = 1300
	// lendMargin is the time that a report may take. An instance that lent its slots uses them again after heardTimeout and this time, or
	// once the other one is heard after it was told.
	lendMargin clock.Millis = 250
	// minIdleTime is the time since its latest request to a cold server from which an instance counts as having none for the service, if
	// none waits.
	minIdleTime clock.Millis = 500
)

// slotLoan is the right of another instance to use this instance's slots of the servers of one service. Only the owner of slots decides who uses them, so
// that two instances which don't hear each other never use the same ones: what was lent comes back by the clock.
type slotLoan struct {
	// to is the instance that has the slots; empty if none has.
	to poplarwinch.InstanceID
	// until is the time at which the slots come back at the latest.
	until clock.Millis
	// revokedAt is the time of the first report that says that they are no longer lent; zero before.
	revokedAt clock.Millis
}

// coldService is the use of the cold servers of one service by this instance. Slots are lent for all servers of a service together: an
// entry for each server would make the reports of a cell with many cold servers too long.
type coldService struct {
	// sentAt is the time of the latest request to a cold server, and wantedAt that of the latest decision that was held back; zero if there
	// was none.
	sentAt   clock.Millis
	wantedAt clock.Millis
	loan     slotLoan
	shares   slotShares
}

// ColdService is what an instance reports of a service with cold servers in its cell.
type ColdService struct {
	Service poplarwinch.ServiceName
	// Wanted says that requests of the instance wait because servers are cold.
	Wanted bool
	// LentTo identifies the instance that may use the slots of the reporting one; zero if none may.
	LentTo uint32
}

// coldServiceOf returns the use of a service's cold servers. The caller holds the lock.
func (f *Fleet) coldServiceOf(service poplarwinch.ServiceName) *coldService {
	c := f.coldServices[service]
	if c == nil {
		c = &coldService{}
		f.coldServices[service] = c
	}
	return c
}

func (c *coldService) isWanted(now clock.Millis) bool {
	return c.wantedAt != 0 && now-c.wantedAt < wantRetention
}

// reportColdServices returns what is reported of services. The caller holds the lock.
func (f *Fleet) reportColdServices(now clock.Millis) []ColdService {
	var list []ColdService
	for service := range f.coldRules {
		if !f.hasCold(service, now) {
			continue
		}
		r := ColdService{Service: service, Wanted: f.coldServiceOf(service).isWanted(now), LentTo: f.lend(service, now)}
		if r.Wanted || r.LentTo != 0 {
			list = append(list, r)
		}
	}
	return list
}

// hasCold reports whether the service has cold servers in the own cell. The caller holds the lock.
func (f *Fleet) hasCold(service poplarwinch.ServiceName, now clock.Millis) bool {
	return slices.ContainsFunc(f.near[service], func(m *serverState) bool { return m.isCold(now) })
}

// mergeColdServices applies a peer's report and reports whether this instance can begin to lend slots, which others are to be told of at
// once. The caller holds the lock.
func (f *Fleet) mergeColdServices(list []ColdService, now clock.Millis) bool {
	lendingDue := false
	for i := range list {
		r := &list[i]
		if !f.hasCold(r.Service, now) {
			continue
		}
		c := f.coldServiceOf(r.Service)
		if r.LentTo == borrowerNumber(f.instance) {
			c.shares.madeAt = 0
		}
		lendingDue = lendingDue || r.Wanted && c.loan.to == "" && c.hasNoUse(now)
	}
	return lendingDue
}

// ofService returns the part of a peer's report on a service.
func (p *peerReport) ofService(service poplarwinch.ServiceName) ColdService {
	for _, c := range p.cold {
		if c.Service == service {
			return c
		}
	}
	return ColdService{}
}

// lend decides which instance may use the slots of this one until the next report, and returns the number that identifies it, or zero. It
// is called for each report. The caller holds the lock.
func (f *Fleet) lend(service poplarwinch.ServiceName, now clock.Millis) uint32 {
	c := f.coldServiceOf(service)
	l := &c.loan
	f.endLoan(l, now)
	free := c.hasNoUse(now)
	switch {
	case l.to != "" && l.revokedAt == 0 && free && f.wantsCold(l.to, service, now):
	case l.to != "":
		if l.revokedAt == 0 {
			l.revokedAt = now
		}
		return 0
	case !free:
		return 0
	default:
		if l.to = f.borrowerOf(service, now); l.to == "" {
			return 0
		}
	}
	l.until = now + heardTimeout + lendMargin
	return borrowerNumber(l.to)
}

// endLoan ends the loan if its time has passed, or if the other instance was heard since it was told of the end. The caller holds the
// lock.
func (f *Fleet) endLoan(l *slotLoan, now clock.Millis) {
	p := f.peerReports[l.to]
	if now >= l.until || l.revokedAt != 0 && p != nil && p.at > l.revokedAt+2*PropagationDelay {
		*l = slotLoan{}
	}
}

// lentUntil returns the time until which this instance can't use its own slots because they are lent, or zero. The caller holds the lock.
func (f *Fleet) lentUntil(l *slotLoan, now clock.Millis) clock.Millis {
	if l.to == "" {
		return 0
	}
	f.endLoan(l, now)
	return l.until
}

// borrowerOf returns the instance that this one lends its slots to, or none. The instances of the cell spread over those that want
// slots. The caller holds the lock.
func (f *Fleet) borrowerOf(service poplarwinch.ServiceName, now clock.Millis) poplarwinch.InstanceID {
	members := f.members(now)
	var wanting []poplarwinch.InstanceID
	for _, id := range members {
		if f.wantsCold(id, service, now) {
			wanting = append(wanting, id)
		}
	}
	if len(wanting) == 0 {
		return ""
	}
	return wanting[slices.Index(members, f.instance)%len(wanting)]
}

// hasNoUse reports whether this instance has no requests for the service's cold servers.
func (c *coldService) hasNoUse(now clock.Millis) bool {
	return !c.isWanted(now) && (c.sentAt == 0 || now-c.sentAt > minIdleTime)
}

// wantsCold reports whether the peer is heard and requests of it wait for cold servers of the service. The caller holds the lock.
func (f *Fleet) wantsCold(id poplarwinch.InstanceID, service poplarwinch.ServiceName, now clock.Millis) bool {
	p := f.peerReports[id]
	return p != nil && now-p.at < heardTimeout && p.ofService(service).Wanted
}

// isBorrower reports whether the peer is heard and has lent its slots of the service's servers to this instance. The caller holds the lock.
func (f *Fleet) isBorrower(id poplarwinch.InstanceID, service poplarwinch.ServiceName, now clock.Millis) bool {
	p := f.peerReports[id]
	return p != nil && now-p.at < heardTimeout && p.ofService(service).LentTo == borrowerNumber(f.instance)
}

// borrowerNumber identifies an instance in reports by a few bytes.
func borrowerNumber(id poplarwinch.InstanceID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return max(h.Sum32(), 1)
}

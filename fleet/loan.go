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
	// minIdleTime is the least time since its latest request from which an instance counts as having none for a server.
	minIdleTime clock.Millis = 500
	// idleRounds is the same in rounds of the slots.
	idleRounds = 1.2
)

// slotLoan is the right of another instance to use this instance's slots of one server. Only the owner of slots decides who uses them, so
// that two instances which don't hear each other never use the same ones: what was lent comes back by the clock.
type slotLoan struct {
	// to is the instance that has the slots; empty if none has.
	to poplarwinch.InstanceID
	// until is the time at which the slots come back at the latest.
	until clock.Millis
	// revokedAt is the time of the first report that says that they are no longer lent; zero before.
	revokedAt clock.Millis
}

// lend decides which instance may use the slots of this one until the next report, and returns the number that identifies it, or zero. It
// is called for each report. The caller holds the lock.
func (f *Fleet) lend(m *serverState, now clock.Millis) uint32 {
	l := &m.notices.coldness().loan
	f.endLoan(m, now)
	free := f.isNear(m) && f.hasNoUse(m, now)
	switch {
	case l.to != "" && l.revokedAt == 0 && free && f.wantsCold(l.to, m, now):
	case l.to != "":
		if l.revokedAt == 0 {
			l.revokedAt = now
		}
		return 0
	case !free:
		return 0
	default:
		if l.to = f.borrowerOf(m, now); l.to == "" {
			return 0
		}
	}
	l.until = now + heardTimeout + lendMargin
	return borrowerNumber(l.to)
}

// endLoan ends the loan if its time has passed, or if the other instance was heard since it was told of the end. The caller holds the
// lock.
func (f *Fleet) endLoan(m *serverState, now clock.Millis) {
	l := &m.notices.coldness().loan
	p := f.peerReports[l.to]
	if now >= l.until || l.revokedAt != 0 && p != nil && p.at > l.revokedAt+2*PropagationDelay {
		*l = slotLoan{}
	}
}

// lentUntil returns the time until which this instance can't use its own slots because they are lent, or zero. The caller holds the lock.
func (f *Fleet) lentUntil(m *serverState, now clock.Millis) clock.Millis {
	f.endLoan(m, now)
	return m.notices.coldness().loan.until
}

// borrowerOf returns the instance that this one lends its slots to, or none. The instances of the cell spread over those that want
// slots. The caller holds the lock.
func (f *Fleet) borrowerOf(m *serverState, now clock.Millis) poplarwinch.InstanceID {
	members := f.members(now)
	var wanting []poplarwinch.InstanceID
	for _, id := range members {
		if f.wantsCold(id, m, now) {
			wanting = append(wanting, id)
		}
	}
	if len(wanting) == 0 {
		return ""
	}
	return wanting[slices.Index(members, f.instance)%len(wanting)]
}

// hasNoUse reports whether this instance has no requests for the cold server. The caller holds the lock.
func (f *Fleet) hasNoUse(m *serverState, now clock.Millis) bool {
	c := m.notices.coldness()
	idleTime := max(minIdleTime, clock.Millis(idleRounds*float64(len(f.members(now)))*m.slotMillis))
	return !c.isWanted(now) && (c.sentAt == 0 || now-c.sentAt > idleTime)
}

// wantsCold reports whether the peer is heard and requests of it wait for the cold server. The caller holds the lock.
func (f *Fleet) wantsCold(id poplarwinch.InstanceID, m *serverState, now clock.Millis) bool {
	p := f.peerReports[id]
	return p != nil && now-p.at < heardTimeout && p.servers[m.server.ID].Cold.Wanted
}

// isBorrower reports whether the peer is heard and has lent its slots of the server to this instance. The caller holds the lock.
func (f *Fleet) isBorrower(id poplarwinch.InstanceID, m *serverState, now clock.Millis) bool {
	p := f.peerReports[id]
	return p != nil && now-p.at < heardTimeout && p.servers[m.server.ID].Cold.LentTo == borrowerNumber(f.instance)
}

// borrowerNumber identifies an instance in reports by a few bytes.
func borrowerNumber(id poplarwinch.InstanceID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return max(h.Sum32(), 1)
}

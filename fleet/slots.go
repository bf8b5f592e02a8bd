package fleet

import (
	"math"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// sharesInterval is the time for which the division of a server's slots is kept.
	sharesInterval clock.Millis = 100
	// borrowDelay is the time after the beginning of a slot from which another instance may use it. By then it would know if its owner had
	// used it.
	borrowDelay = 3 * PropagationDelay
)

// slotUse says how this instance may use a slot.
type slotUse byte

const (
	slotOfOther slotUse = iota
	slotOwn
	// slotBorrowed slots were lent by an instance that has no requests for the server.
	slotBorrowed
)

// slotShares divides the slots of the servers of one service among the instances of the cell that were known recently. Slots are spread evenly over the
// time at the rate of the server, and given to the instances by turns. An instance that hears nobody uses only its own slots, which is
// a share of 1/n of the rate, and those that others have lent to it. Slots are not saved up, so no requests gather however long an
// instance was idle, frozen or cut off.
type slotShares struct {
	madeAt clock.Millis
	// uses has one element for each instance; slot i is that of the instance i modulo their number.
	uses []slotUse
}

// sharesOf returns the division of the slots of the service's servers. The caller holds the lock.
func (f *Fleet) sharesOf(c *coldService, service poplarwinch.ServiceName, now clock.Millis) []slotUse {
	s := &c.shares
	if s.madeAt != 0 && now-s.madeAt < sharesInterval {
		return s.uses
	}
	members, wanted := f.members(now), c.isWanted(now)
	s.madeAt, s.uses = now, make([]slotUse, len(members))
	for i, id := range members {
		switch {
		case id == f.instance:
			s.uses[i] = slotOwn
		case wanted && f.isBorrower(id, service, now):
			s.uses[i] = slotBorrowed
		}
	}
	return s.uses
}

// members returns the instances of the own cell that were known recently, in an order that all of them agree on. The caller holds the
// lock.
func (f *Fleet) members(now clock.Millis) []poplarwinch.InstanceID {
	if f.cellMembers == nil {
		return []poplarwinch.InstanceID{f.instance}
	}
	if f.membersAt == 0 || now-f.membersAt >= sharesInterval {
		list := f.cellMembers()
		if !slices.Contains(list, f.instance) {
			list = append(list, f.instance)
		}
		slices.Sort(list)
		f.membersAt, f.memberList = now, list
	}
	return f.memberList
}

// nextSlot returns the next slot of the server that this instance may use, and the time from which it may, in ms. The caller holds the
// lock.
func (f *Fleet) nextSlot(m *serverState, now clock.Millis) (slot int64, at float64) {
	c := m.notices.coldness()
	uses := f.sharesOf(m.coldService, m.server.Service, now)
	oldest := math.Ceil(float64(now-slotWindow-c.startedAt) / m.slotMillis)
	slot = max(c.used+1, int64(oldest), 0)
	i := int((uint64(slot) + m.hash) % uint64(len(uses)))
	for uses[i] == slotOfOther {
		slot++
		if i++; i == len(uses) {
			i = 0
		}
	}
	at = float64(c.startedAt) + float64(slot)*m.slotMillis
	if uses[i] == slotBorrowed {
		at += float64(borrowDelay)
	}
	return slot, at
}

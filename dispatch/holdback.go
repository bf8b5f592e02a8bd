package dispatch

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/queue"
)

// holds has the requests that leave free capacity to more urgent ones at other instances.
type holds map[holdKey]hold

// hold is the time since which requests have left free capacity, and the one of them that did so last.
type hold struct {
	since clock.Millis
	item  *queue.Item
}

// holdKey identifies requests that leave capacity together.
type holdKey struct {
	service poplarwinch.ServiceName
	route   string
	class   int
}

func keyOf(i *queue.Item) holdKey { return holdKey{i.Service, i.Route, i.Class} }

// noCapacity records that no server has capacity for the request, so that the next free capacity is left to more urgent ones again. It does
// not end the hold of another request that still waits: a larger one may have no capacity all the time, and would begin the hold of smaller
// ones anew in each pass.
func (w *waitingRequests) noCapacity(i *queue.Item) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	key := keyOf(i)
	h, held := w.holds[key]
	if !held {
		return
	}
	isOver := w.waiters[h.item] == nil && w.d.clock.Now()-h.since >= holdTime(w.d.fleet.WaitingPeers())
	if h.item == i || isOver {
		delete(w.holds, key)
	}
}

// holdsBack reports whether a request that could run leaves the free capacity to more urgent ones that wait at other instances of the cell.
// It does so only while there is no more than they need, and for the time in which they can take it: what is free then is of no use to
// them, or they have ended. A request that has waited for long does not.
func (x *run) holdsBack(i *queue.Item, candidates []fleet.Candidate) bool {
	w := x.d.waiting
	now, urgent := x.d.clock.Now(), x.d.fleet.WaitingBefore(x.Service, i.Class)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	key := keyOf(i)
	if urgent == 0 || i.Aged(now) || x.freeCapacity(candidates) > urgent {
		delete(w.holds, key)
		return false
	}
	h, held := w.holds[key]
	if !held {
		h.since = now
	}
	h.item = i
	w.holds[key] = h
	return now-h.since < holdTime(x.d.fleet.WaitingPeers())
}

// holdTime returns the time in which peers with waiting requests decide after a change and make it known.
func holdTime(peers int) clock.Millis {
	return min(fleet.PropagationDelay*clock.Millis(peers), maxInstanceJitter) + 2*fleet.PropagationDelay
}

// freeCapacity returns the number of requests for which the candidates have room: the free slots of engines, or the servers of a plain
// service whose limits allow a request.
func (x *run) freeCapacity(candidates []fleet.Candidate) int {
	pool, isPool := x.pool()
	free := 0
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Avoid || c.Resting || c.Wait > 0:
		case isPool:
			free += max(pool.Slots-c.Load.Requests, 0)
		default:
			free++
		}
	}
	return free
}

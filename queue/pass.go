package queue

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
)

// agedShare is the number of starts of a service of which one may be that of an aged item while more urgent ones wait.
const agedShare = 8

// Pass tries the items of a queue in order. An item on which a decision is like one that said that an item can't run now is not tried, so
// that the number of decisions depends on the variety of the items and not on their number.
type Pass struct {
	queue *Queue
	now   clock.Millis
	// generation is that of the queue at the beginning of the pass.
	generation uint64
	// order has the items that were not returned yet.
	order []*Item
	// aged has the items of order that have aged, the longest waiting first. They may have been returned already.
	aged []*Item
	// failed has the kinds that can't run now.
	failed map[kind]bool
	// number is that of the pass.
	number uint64
}

// Pass begins a pass over the items.
func (q *Queue) Pass(now clock.Millis) *Pass {
	p := &Pass{queue: q, now: now, generation: q.generation, order: q.ordered(now), failed: map[kind]bool{}}
	q.passes++
	p.number = q.passes
	for _, i := range p.order {
		if q.compare == nil && i.Aged(now) {
			p.aged = append(p.aged, i)
		}
	}
	slices.SortStableFunc(p.aged, func(a, b *Item) int { return cmp.Compare(a.Arrived, b.Arrived) })
	return p
}

// Next returns the next item to be tried, or nil at the end of the pass.
func (p *Pass) Next() *Item {
	for n, i := range p.aged {
		if l := p.queue.lines[i.Service]; l != nil && l.urgentStarts >= agedShare-1 && p.mayTry(i) {
			p.aged = slices.Delete(p.aged, n, n+1)
			i.triedAt = p.number
			return i
		}
	}
	for len(p.order) > 0 {
		i := p.order[0]
		p.order = p.order[1:]
		i.triedIn = p.generation
		if p.mayTry(i) {
			i.triedAt = p.number
			return i
		}
	}
	return nil
}

// Failed records that the item can't run now.
func (p *Pass) Failed(i *Item) {
	if k, ok := i.kindAt(p.now); ok {
		p.failed[k] = true
	}
}

// mayTry reports whether the item is still in the queue, was not tried in this pass, and may be able to run.
func (p *Pass) mayTry(i *Item) bool {
	if i.triedAt == p.number || i.position >= len(p.queue.items) || p.queue.items[i.position] != i {
		return false
	}
	k, ok := i.kindAt(p.now)
	return !ok || !p.failed[k]
}

// ordered returns the items in the order in which they are tried.
func (q *Queue) ordered(now clock.Millis) []*Item {
	order := slices.Clone(q.items)
	if q.compare != nil {
		slices.SortStableFunc(order, q.compare)
		return order
	}
	for _, i := range order {
		i.slack = i.latestStart() - now
		i.late = i.slack < 0
	}
	slices.SortFunc(order, compareOwn)
	q.assignStarts(order)
	slices.SortFunc(order, compareItems)
	return order
}

// assignStarts sets the virtual time at which each item would start if the servers divided their work evenly among the customers of its
// class. Items are ordered by compareOwn.
func (q *Queue) assignStarts(order []*Item) {
	var last *Item
	next := 0.0
	for _, i := range order {
		if last == nil || last.account != i.account {
			l := q.lines[i.Service]
			next = max(l.virtual[i.Class], i.account.finish)
		}
		i.start = next
		next += max(i.Cost, 1)
		last = i
	}
}

// compareOwn orders the items of each customer: those that can meet their targets come first, and among these, those whose callers have
// come back, since they don't come back again.
func compareOwn(a, b *Item) int {
	switch {
	case a.account != b.account && a.account.serial != b.account.serial:
		return a.account.serial - b.account.serial
	case a.account != b.account:
		return cmp.Compare(a.Service, b.Service)
	case a.late != b.late:
		return compareBools(a.late, b.late)
	case a.Returned != b.Returned:
		return compareBools(b.Returned, a.Returned)
	case a.slack != b.slack:
		return cmp.Compare(a.slack, b.slack)
	}
	return cmp.Compare(a.Arrived, b.Arrived)
}

// compareItems orders all items: by class; then those that can still meet their targets; then by the shares of customers and the time that
// is left.
func compareItems(a, b *Item) int {
	switch {
	case a.Class != b.Class:
		return a.Class - b.Class
	case a.late != b.late:
		return compareBools(a.late, b.late)
	case a.start < b.start:
		return -1
	case a.start > b.start:
		return 1
	case a.slack != b.slack:
		return cmp.Compare(a.slack, b.slack)
	}
	return cmp.Compare(a.Arrived, b.Arrived)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

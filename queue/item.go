// Package queue determines the order in which an instance tries the requests that wait for a server. It has no I/O and no clock of its
// own.
package queue

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// agingFraction is the fraction of the caller's patience after which a request of a less urgent class may be tried before more urgent
	// ones. It is below the half after which decisions reject a request instead of waiting further.
	agingFraction = 0.375
	// endingFraction is the fraction of the caller's patience after which each decision on a request may reject it.
	endingFraction = 0.5
	// earlyFraction and middleFraction divide the time to the target: decisions may differ between requests in different parts.
	earlyFraction  = 0.15
	middleFraction = 0.6
	// sizesPerDoubling is the number of size ranges for each doubling of the size.
	sizesPerDoubling = 4
	// patiencesPerDoubling is the number of ranges for each doubling of the caller's patience.
	patiencesPerDoubling = 2
)

// Item is a waiting request.
type Item struct {
	Service  poplarwinch.ServiceName
	Customer poplarwinch.CustomerID
	// Class is the priority class; 0 is the most urgent. It is less than route.PriorityClasses.
	Class int
	// Route identifies requests to which the same limits apply.
	Route string
	// Regions identifies the regions that the route and the customer allow, empty if all: requests with different ones may run on
	// different servers.
	Regions string
	// Cost is the work for a server, in milliseconds.
	Cost float64
	// Lead is the shortest time from the start to the first event.
	Lead clock.Millis
	// Arrived is the time of arrival, Target the time at which the answer, or its first event, should arrive, and GivesUp the time at
	// which the caller gives up.
	Arrived, Target, GivesUp clock.Millis
	// Returned says that the caller seems to have come back after a rejection.
	Returned bool
	// Distinct says that the result of a decision says nothing of other requests, nor theirs of this one, because it avoids servers that
	// have failed it.
	Distinct bool

	account *account
	// size is the range in which Cost lies.
	size int
	// patience is the range in which the time from the arrival until the caller gives up lies.
	patience int
	// triedAt is the number of the pass in which the request was tried last.
	triedAt uint64
	// position is the place in the list of the queue.
	position int
	// triedIn is the generation of the queue in which the request was tried last.
	triedIn uint64
	// The keys of the order in the current pass.
	late  bool
	start float64
	slack clock.Millis
}

// Aged reports whether the item has waited so long that it may be tried before more urgent ones.
func (i *Item) Aged(now clock.Millis) bool {
	return i.Class > 0 && i.elapsedFraction(now) >= agingFraction
}

// elapsedFraction returns the fraction of the caller's patience that has passed.
func (i *Item) elapsedFraction(now clock.Millis) float64 {
	return float64(now-i.Arrived) / float64(max(i.GivesUp-i.Arrived, 1))
}

// latestStart returns the time at which the item has to run to meet its target.
func (i *Item) latestStart() clock.Millis { return i.Target - i.Lead }

// kind identifies items on which decisions are alike.
type kind struct {
	service  poplarwinch.ServiceName
	route    string
	regions  string
	size     int
	patience int
	phase    phase
}

// phase is a part of the time for which an item waits.
type phase string

const (
	phaseEarly  phase = "early"
	phaseMiddle phase = "middle"
	phaseLast   phase = "last"
	phaseMissed phase = "missed"
	phaseEnding phase = "ending"
)

// phaseAt returns the phase of the item.
func (i *Item) phaseAt(now clock.Millis) phase {
	waited, full := float64(now-i.Arrived), float64(i.Target-i.Arrived)
	switch {
	case i.elapsedFraction(now) >= endingFraction:
		return phaseEnding
	case now > i.latestStart():
		return phaseMissed
	case waited > middleFraction*full:
		return phaseLast
	case waited > earlyFraction*full:
		return phaseMiddle
	}
	return phaseEarly
}

// kindAt returns the kind of the item. It reports false if each decision on the item stands for itself.
func (i *Item) kindAt(now clock.Millis) (kind, bool) {
	p := i.phaseAt(now)
	if i.Distinct || p == phaseEnding {
		return kind{}, false
	}
	return kind{service: i.Service, route: i.Route, regions: i.Regions, size: i.size, patience: i.patience, phase: p}, true
}

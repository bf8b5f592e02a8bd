package instance

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// enginesPerGroup is the number of engines in a failure domain for each group that it may hold at a time, so that the
// longest prompts leave capacity for others.
const enginesPerGroup = 4

// initReservations creates the builder of engine groups and the sweeper, which frees reservations and exports past
// their deadlines.
func (i *Instance) initReservations() {
	i.reservations = reservation.NewBuilder(i.settings.Instance.ID, i.clock, i.log)
	i.reservations.Reserve, i.reservations.Release, i.reservations.MaxGroups = i.engines.Reserve, i.engines.Release, i.groupLimit
	i.sweeper = reservation.NewSweeper(i.clock, i.log)
	i.sweeper.Targets = i.sweepTargets
	i.sweeper.Reservations, i.sweeper.Release = i.engines.Reservations, i.engines.Release
	i.sweeper.Exports, i.sweeper.DeleteExport = i.engines.Exports, i.engines.DeleteExport
}

// groupLimit returns this instance's part of the groups that its failure domain may hold at a time, at least 1.
func (i *Instance) groupLimit() int {
	engines := 0
	for _, u := range i.registry.Snapshot().All() {
		if u.Kind == upstream.KindEngine && u.FailureDomain == i.settings.Instance.FailureDomain {
			engines++
		}
	}
	return max(1, engines/enginesPerGroup/i.instances())
}

// sweepTargets returns the engines that this instance sweeps, unless they are down.
func (i *Instance) sweepTargets() []reservation.Target {
	var targets []reservation.Target
	for _, u := range i.registry.Snapshot().All() {
		if u.Kind == upstream.KindEngine && u.State() != upstream.StateDown && i.sweeps(u) {
			targets = append(targets, reservation.Target{Upstream: u.ID, Address: u.Address})
		}
	}
	return targets
}

// sweeps reports whether this instance sweeps an upstream. Upstreams of other failure domains are swept by the
// instances there.
func (i *Instance) sweeps(u *upstream.Upstream) bool {
	return u.FailureDomain == i.settings.Instance.FailureDomain && i.members.Snapshot().Owns("sweep/"+string(u.ID), ownersPerKey)
}

// watches reports whether this instance is one of those that probe an upstream: its ownersPerKey owners, and their successors while these
// are suspected of having failed.
func (i *Instance) watches(id poplarwinch.UpstreamID) bool {
	u, ok := i.registry.Snapshot().Lookup(id)
	return ok && u.FailureDomain == i.settings.Instance.FailureDomain && i.members.Snapshot().ShouldOwn("upstream/"+string(id), ownersPerKey)
}

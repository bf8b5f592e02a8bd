package instance

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// enginesPerGroup bounds the groups of a failure domain to this fraction of its engines, so that the longest prompts
// leave room for others.
const enginesPerGroup = 4

// reserve creates the reservation of groups and the reclaiming of memory past its deadline.
func (i *Instance) reserve() {
	i.groups = reservation.NewBuilder(i.settings.Instance.ID, i.clock, i.log)
	i.groups.Reserve, i.groups.Release, i.groups.Limit = i.engines.Reserve, i.engines.Release, i.groupLimit
	i.sweeper = reservation.NewSweeper(i.clock, i.log)
	i.sweeper.Targets = i.sweepTargets
	i.sweeper.Reservations, i.sweeper.Release = i.engines.Reservations, i.engines.Release
	i.sweeper.Exports, i.sweeper.DeleteExport = i.engines.Exports, i.engines.DeleteExport
}

// groupLimit returns this instance's part of the groups that its failure domain may hold.
func (i *Instance) groupLimit() int {
	engines := 0
	for _, u := range i.registry.Snapshot().All() {
		if u.Kind == upstream.KindEngine && u.FailureDomain == i.settings.Instance.FailureDomain {
			engines++
		}
	}
	return max(1, engines/enginesPerGroup/i.instances())
}

// sweepTargets returns the engines that this instance sweeps. Engines of other domains belong to the instances there.
func (i *Instance) sweepTargets() []reservation.Target {
	var targets []reservation.Target
	for _, u := range i.registry.Snapshot().All() {
		if u.Kind == upstream.KindEngine && u.State() != upstream.StateDown && i.sweeps(u) {
			targets = append(targets, reservation.Target{Upstream: u.ID, Address: u.Address})
		}
	}
	return targets
}

func (i *Instance) sweeps(u *upstream.Upstream) bool {
	return u.FailureDomain == i.settings.Instance.FailureDomain && i.members.Snapshot().Owns("sweep/"+string(u.ID), watchers)
}

// watches reports whether this instance is one of the watchers of an upstream.
func (i *Instance) watches(id poplarwinch.UpstreamID) bool {
	u, ok := i.registry.Snapshot().Lookup(id)
	return ok && u.FailureDomain == i.settings.Instance.FailureDomain && i.members.Snapshot().Owns("upstream/"+string(id), watchers)
}

package instance

import (
	"context"
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/lease"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/placement"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// placementKey is the ownership key of the planner candidates.
	placementKey = "placement"
	// plannerCandidates is the number of instances that compete for the lease, each of which reads its row every 3 s.
	// Three of them leave a planner while two are down or can't reach the table.
	plannerCandidates = 3
)

// initPlacement creates the placement lease of the failure domain and the planner, which acts only for its holder.
func (i *Instance) initPlacement() {
	i.lease = lease.New(
		lease.WithKey("lease/"+string(i.settings.Instance.FailureDomain)), lease.WithHolder(i.settings.Instance.ID),
		lease.WithTable(i.table.Get, i.table.Put), lease.WithClock(i.clock), lease.WithLog(i.log),
		lease.WithCandidate(i.isPlannerCandidate),
	)
	i.planner = placement.New(i.clock, i.log)
	i.planner.Valid, i.planner.Engines, i.planner.Demand = i.lease.Valid, i.placementEngines, i.placementDemand
	i.planner.ReadModels, i.planner.Order = i.readModels, i.orderModels
	i.planner.Active = func() *manifest.Manifest {
		if active := i.store.Active(); active != nil {
			return active.Manifest
		}
		return nil
	}
}

// runPlacement competes for the lease and plans while holding it, until ctx ends.
func (i *Instance) runPlacement(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { _ = i.lease.Run(ctx) })
	return i.planner.Run(ctx)
}

// isPlannerCandidate reports whether this instance may acquire the placement lease of its failure domain.
func (i *Instance) isPlannerCandidate() bool {
	return i.store.Active() != nil && i.members.Snapshot().Owns(placementKey, plannerCandidates)
}

// placementEngines returns the engines of this failure domain as last observed.
func (i *Instance) placementEngines() []placement.Engine {
	observations, _ := i.registry.Changes(0)
	byID := make(map[poplarwinch.UpstreamID]upstream.Observation, len(observations))
	for _, o := range observations {
		byID[o.ID] = o
	}
	var engines []placement.Engine
	for _, u := range i.registry.Snapshot().All() {
		if u.Kind != upstream.KindEngine || u.FailureDomain != i.settings.Instance.FailureDomain {
			continue
		}
		o := byID[u.ID]
		engines = append(engines, placement.Engine{
			ID: u.ID, Address: u.Address, Up: u.Selectable(), BootID: o.BootID, At: o.At, Models: o.Models,
		})
	}
	return engines
}

// placementDemand extrapolates the demand of the failure domain from this instance's part. A model has demand of at
// least 1 if an engine that loaded it has requests, even if this instance received none of them.
func (i *Instance) placementDemand() map[poplarwinch.ModelName]int64 {
	demand := i.admission.Demand()
	for name := range demand {
		demand[name] *= int64(i.instances())
	}
	for _, e := range i.placementEngines() {
		u, ok := i.registry.Snapshot().Lookup(e.ID)
		if !ok || u.Load().RunningRequests+u.Load().WaitingRequests == 0 {
			continue
		}
		for _, m := range e.Models {
			demand[m.Name] = max(1, demand[m.Name])
		}
	}
	return demand
}

// readModels queries an engine for its loaded models.
func (i *Instance) readModels(ctx context.Context, e placement.Engine) ([]upstream.LoadedModel, error) {
	health, err := i.engines.Health(ctx, e.Address)
	return loadedModels(health), err
}

// orderModels sends an engine an order. It leaves the engine's role unchanged, since the manifest does not set roles.
func (i *Instance) orderModels(ctx context.Context, e placement.Engine, o placement.Order) error {
	order := engine.Order{FencingToken: o.FencingToken, ValidUntil: o.ValidUntil, Models: make([]engine.Model, len(o.Models))}
	for k, m := range o.Models {
		order.Models[k] = engine.Model{Name: m.Name, Version: m.Version, Adapters: make([]engine.Adapter, len(m.Adapters))}
		for l, a := range m.Adapters {
			order.Models[k].Adapters[l] = engine.Adapter{Name: a.Name, Version: a.Version}
		}
	}
	return i.engines.Order(ctx, e.Address, order)
}

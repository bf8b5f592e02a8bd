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
	placementDuty = "placement"
	// plannerCandidates bounds the instances that read the lease's row, which costs each a read every 3 s. With three of
	// them a planner is found while two are dead or cut off from the table.
	plannerCandidates = 3
)

// place creates the lease of the failure domain and the planner that its holder runs.
func (i *Instance) place() {
	i.lease = lease.New(
		lease.WithKey("lease/"+string(i.settings.Instance.FailureDomain)), lease.WithHolder(i.settings.Instance.ID),
		lease.WithTable(i.table.Get, i.table.Put), lease.WithClock(i.clock), lease.WithLog(i.log),
		lease.WithCandidate(i.mayPlan),
	)
	i.planner = placement.New(i.clock, i.log)
	i.planner.Valid, i.planner.Engines, i.planner.Demand = i.lease.Valid, i.placementEngines, i.placementDemand
	i.planner.Read, i.planner.Order = i.readModels, i.orderModels
	i.planner.Active = func() *manifest.Manifest {
		if x := i.store.Active(); x != nil {
			return x.Manifest
		}
		return nil
	}
}

// runPlacement holds the lease and plans until ctx ends.
func (i *Instance) runPlacement(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { _ = i.lease.Run(ctx) })
	return i.planner.Run(ctx)
}

// mayPlan reports whether this instance may become the planner of its failure domain.
func (i *Instance) mayPlan() bool {
	return i.store.Active() != nil && i.members.Snapshot().Owns(placementDuty, plannerCandidates)
}

// placementEngines returns the engines of the own failure domain as last observed.
func (i *Instance) placementEngines() []placement.Engine {
	observations, _ := i.registry.Changes(0)
	seen := make(map[poplarwinch.UpstreamID]upstream.Observation, len(observations))
	for _, o := range observations {
		seen[o.ID] = o
	}
	var engines []placement.Engine
	for _, u := range i.registry.Snapshot().All() {
		if u.Kind != upstream.KindEngine || u.FailureDomain != i.settings.Instance.FailureDomain {
			continue
		}
		o := seen[u.ID]
		engines = append(engines, placement.Engine{
			ID: u.ID, Address: u.Address, Up: u.Selectable(), BootID: o.BootID, At: o.At, Models: o.Models,
		})
	}
	return engines
}

// placementDemand estimates the demand of the failure domain from the part that this instance sees. Models with prompts on
// an engine have demand even if this instance got none of them.
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

// readModels asks an engine for its models.
func (i *Instance) readModels(ctx context.Context, e placement.Engine) ([]upstream.Loaded, error) {
	h, err := i.engines.Health(ctx, e.Address)
	return loadedModels(h), err
}

// orderModels sends an order. The role stays as it is, since the manifest names none.
func (i *Instance) orderModels(ctx context.Context, e placement.Engine, o placement.Order) error {
	order := engine.Order{FencingNumber: o.FencingNumber, ValidUntil: o.ValidUntil, Models: make([]engine.Model, len(o.Models))}
	for k, m := range o.Models {
		order.Models[k] = engine.Model{Name: m.Name, Version: m.Version, Adapters: make([]engine.Adapter, len(m.Adapters))}
		for l, a := range m.Adapters {
			order.Models[k].Adapters[l] = engine.Adapter{Name: a.Name, Version: a.Version}
		}
	}
	return i.engines.Order(ctx, e.Address, order)
}

package placement

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// staleAfter is the age beyond which an observation no longer permits an order. Watchers probe twice a second.
	staleAfter = 5 * clock.Second
	// moveThreshold is the number of engines that the surplus of one model and the deficit of another must exceed together
	// before demand moves an engine between them. A move changes the sum by 2, so a threshold below 1 would oscillate.
	moveThreshold = 1.5
)

// plan computes the desired models of each engine. An empty engine gets one model; an engine with several models of the
// manifest keeps them.
type plan struct {
	planInput
	targets     []*target
	byName      map[poplarwinch.ModelName]*target
	assignments []*assignment
	// loads is the number of loads that may still start within the manifest's limit of concurrent loads.
	loads int
}

// decide returns the assignments that need an order now, most urgent first.
func decide(input planInput) []*assignment {
	p := &plan{planInput: input, byName: map[poplarwinch.ModelName]*target{}, loads: input.manifest.Engines.MaxConcurrentLoads}
	for i := range input.manifest.Models {
		m := &input.manifest.Models[i]
		t := &target{model: toLoaded(m), demand: input.demand[m.Name]}
		p.targets = append(p.targets, t)
		p.byName[m.Name] = t
	}
	for _, e := range input.engines {
		if e.Up {
			p.addEngine(e)
		}
	}
	p.computeIdeals()
	p.assignEmpty()
	p.rebalance()
	p.updateVersions()
	return p.changes()
}

// addEngine adds an engine with the models that it keeps or, if an order is pending, will have.
func (p *plan) addEngine(e Engine) {
	a := &assignment{engine: e}
	p.assignments = append(p.assignments, a)
	if order := p.pending[e.ID]; order != nil && p.matchesManifest(order.models) {
		p.addPending(a, order)
		return
	}
	for _, m := range e.Models {
		t := p.byName[m.Name]
		if t != nil && (equalModels(m, t.model) || !containsModel(e.Models, t.model)) {
			a.want = append(a.want, m)
		}
	}
	a.reason = ReasonRemoved
	a.fixed = p.now-e.At > staleAfter
	for _, name := range modelNames(a.want) {
		t := p.byName[name]
		t.assigned++
		if !a.fixed {
			t.serving++
		}
	}
}

// addPending adds an engine with a pending order. After a load timeout, only the ordered models that the engine
// already has count.
func (p *plan) addPending(a *assignment, order *pending) {
	a.fixed, a.want = true, order.models
	timedOut := order.timedOut(p.now)
	if a.loads() && !timedOut {
		p.loads--
	}
	for _, name := range modelNames(order.models) {
		t, keeps := p.byName[name], false
		for _, m := range a.engine.Models {
			keeps = keeps || m.Name == name && containsModel(order.models, m)
			t.updating = t.updating || m.Name == name && !equalModels(m, t.model) && !timedOut
		}
		if keeps {
			t.serving++
		}
		if keeps || !timedOut {
			t.assigned++
		}
	}
}

// matchesManifest reports whether the manifest names every one of the models and the list includes their current
// versions. Earlier versions may be listed beside the current ones.
func (p *plan) matchesManifest(models []upstream.LoadedModel) bool {
	return !slices.ContainsFunc(models, func(m upstream.LoadedModel) bool {
		t := p.byName[m.Name]
		return t == nil || !containsModel(models, t.model)
	})
}

// computeIdeals sets the minimum and the ideal number of engines of each model. If there are too few engines for all
// minimums, each model gets one before any gets a second, in descending order of demand.
func (p *plan) computeIdeals() {
	remaining := len(p.assignments)
	order := slices.Clone(p.targets)
	slices.SortStableFunc(order, func(a, b *target) int { return cmp.Compare(b.demand, a.demand) })
	for round, more := 1, true; more; round, order = round+1, p.targets {
		more = false
		for _, t := range order {
			if remaining > 0 && p.minimum(t) >= round {
				t.minimum++
				remaining--
				more = true
			}
		}
	}
	sum := 0.0
	for _, t := range p.targets {
		sum += p.weight(t)
	}
	for _, t := range p.targets {
		t.ideal = float64(t.minimum)
		if sum > 0 {
			t.ideal += float64(remaining) * p.weight(t) / sum
		}
	}
}

// minimum returns the minimum number of engines that the manifest sets for the model.
func (p *plan) minimum(t *target) int {
	for i := range p.manifest.Models {
		if p.manifest.Models[i].Name == t.model.Name {
			return p.manifest.Models[i].MinEngines
		}
	}
	return 0
}

// weight returns the model's weight in the division of the engines that remain after the minimums: its demand, or its
// minimum if no model has demand, or 1 if no model has a minimum either.
func (p *plan) weight(t *target) float64 {
	demand, minimums := false, false
	for _, x := range p.targets {
		demand = demand || x.demand > 0
		minimums = minimums || x.minimum > 0
	}
	switch {
	case demand:
		return float64(t.demand)
	case minimums:
		return float64(t.minimum)
	}
	return 1
}

// assignEmpty assigns a model to each engine without one.
func (p *plan) assignEmpty() {
	for _, a := range p.assignments {
		if a.fixed || len(a.want) > 0 || len(p.targets) == 0 {
			continue
		}
		best := p.targets[0]
		for _, t := range p.targets[1:] {
			if t.hasPriorityOver(best) {
				best = t
			}
		}
		p.assign(a, best)
	}
}

// assign replaces the desired models of an engine by the model of t.
func (p *plan) assign(a *assignment, t *target) {
	for _, name := range modelNames(a.want) {
		p.byName[name].assigned--
		p.byName[name].serving--
	}
	a.want, a.reason, a.causedBy = []upstream.LoadedModel{t.model}, t.reason(), t
	t.assigned++
}

// rebalance moves engines from models with a surplus to models with a deficit.
func (p *plan) rebalance() {
	for range p.loads {
		var best *target
		for _, t := range p.targets {
			if best == nil || t.hasPriorityOver(best) {
				best = t
			}
		}
		if best == nil {
			return
		}
		a, surplus := p.moveCandidate(best)
		if a == nil || best.reason().rank() >= ReasonDemand.rank() && surplus+best.deficit() <= moveThreshold {
			return
		}
		p.assign(a, best)
	}
}

// moveCandidate returns the engine to move to t, and the smallest surplus over the ideal number of engines among the
// engine's models. Equal candidates that need a version update anyway are preferred.
func (p *plan) moveCandidate(t *target) (best *assignment, surplus float64) {
	bestNeedsUpdate := false
	for _, a := range p.assignments {
		if a.fixed || a.causedBy != nil || len(a.want) == 0 || containsName(a.want, t.model.Name) {
			continue
		}
		least, available := 0.0, true
		for i, name := range modelNames(a.want) {
			other := p.byName[name]
			available = available && other.hasSurplus()
			if i == 0 || -other.deficit() < least {
				least = -other.deficit()
			}
		}
		needsUpdate := !p.matchesManifest(a.want)
		if available && (best == nil || least > surplus || least == surplus && needsUpdate && !bestNeedsUpdate) {
			best, surplus, bestNeedsUpdate = a, least, needsUpdate
		}
	}
	return best, surplus
}

// updateVersions replaces earlier versions, on one engine per model at a time. If the model can't lose an engine for
// the duration of the load, the engine loads the current version beside the earlier one.
func (p *plan) updateVersions() {
	for _, t := range p.targets {
		if t.updating {
			continue
		}
		for _, a := range p.assignments {
			if a.fixed || a.causedBy != nil || !containsName(a.want, t.model.Name) || containsModel(a.want, t.model) {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(a.want), func(m upstream.LoadedModel) bool { return m.Name == t.model.Name })
			if t.serving > t.minServing() || p.ignoreMinimums {
				t.serving--
				a.want = append(others, t.model)
			} else {
				a.want = append(slices.Clone(a.want), t.model)
			}
			a.reason, a.causedBy, t.updating = ReasonVersion, t, true
			break
		}
	}
}

// changes returns the assignments that need an order, within the limit of concurrent loads.
func (p *plan) changes() []*assignment {
	var list []*assignment
	for _, a := range p.assignments {
		order := p.pending[a.engine.ID]
		switch {
		case !a.fixed && !sameModels(a.want, a.engine.Models):
			list = append(list, a)
		case a.fixed && order != nil && p.now >= order.repeatAt && p.now-a.engine.At <= staleAfter && p.matchesManifest(order.models) &&
			!sameModels(a.want, a.engine.Models):
			a.reason = ReasonRepeat
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b *assignment) int {
		if c := cmp.Compare(a.reason.rank(), b.reason.rank()); c != 0 || a.causedBy == nil || b.causedBy == nil {
			return c
		}
		return cmp.Compare(b.causedBy.demand, a.causedBy.demand)
	})
	return slices.DeleteFunc(list, func(a *assignment) bool {
		if a.reason == ReasonRepeat || !a.loads() {
			return false
		}
		p.loads--
		return p.loads < 0
	})
}

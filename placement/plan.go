package placement

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// An engine whose last observation is older than this gets no order. Watchers probe twice a second.
	staleAfter = 5 * clock.Second
	// An engine moves between models by demand only if the two models together miss their ideal numbers by more than
	// this. One move changes the sum by 2, so a smaller bound than 1 would move engines back and forth.
	moveThreshold = 1.5
)

// plan computes the desired models of each engine. Each engine gets one model; an engine that has several models of the
// manifest keeps them.
type plan struct {
	situation
	targets     []*target
	byName      map[poplarwinch.ModelName]*target
	assignments []*assignment
	// loads is the number of further loads that may start.
	loads int
}

// decide returns the changes to order now, most urgent first.
func decide(s situation) []*assignment {
	p := &plan{situation: s, byName: map[poplarwinch.ModelName]*target{}, loads: s.manifest.Engines.MaxConcurrentLoads}
	for i := range s.manifest.Models {
		m := &s.manifest.Models[i]
		t := &target{model: loadedOf(m), demand: s.demand[m.Name]}
		p.targets = append(p.targets, t)
		p.byName[m.Name] = t
	}
	for _, e := range s.engines {
		if e.Up {
			p.add(e)
		}
	}
	p.share()
	p.fill()
	p.move()
	p.update()
	return p.changes()
}

// add counts what an engine has and will have.
func (p *plan) add(e Engine) {
	a := &assignment{engine: e}
	p.assignments = append(p.assignments, a)
	if u := p.underway[e.ID]; u != nil && p.wanted(u.models) {
		p.await(a, u)
		return
	}
	for _, m := range e.Models {
		t := p.byName[m.Name]
		if t != nil && (equal(m, t.model) || !contains(e.Models, t.model)) {
			a.want = append(a.want, m)
		}
	}
	a.reason = ReasonRemoved
	a.settled = p.now-e.At > staleAfter
	for _, name := range namesOf(a.want) {
		t := p.byName[name]
		t.assigned++
		if !a.settled {
			t.serving++
		}
	}
}

// await counts an engine whose order is under way. A load that has failed counts for what the engine kept.
func (p *plan) await(a *assignment, u *underway) {
	a.settled, a.want = true, u.models
	failed := u.failed(p.now)
	if a.loads() && !failed {
		p.loads--
	}
	for _, name := range namesOf(u.models) {
		t, keeps := p.byName[name], false
		for _, m := range a.engine.Models {
			keeps = keeps || m.Name == name && contains(u.models, m)
			t.updating = t.updating || m.Name == name && !equal(m, t.model) && !failed
		}
		if keeps {
			t.serving++
		}
		if keeps || !failed {
			t.assigned++
		}
	}
}

// wanted reports whether the manifest still names the models of an order. The order may keep an earlier version beside
// the current one.
func (p *plan) wanted(models []upstream.Loaded) bool {
	return !slices.ContainsFunc(models, func(m upstream.Loaded) bool {
		t := p.byName[m.Name]
		return t == nil || !contains(models, t.model)
	})
}

// share sets the number of engines of each model. If the engines don't suffice for all minimums, each model gets one
// before any gets a second one, and those with demand come first.
func (p *plan) share() {
	rest := len(p.assignments)
	order := slices.Clone(p.targets)
	slices.SortStableFunc(order, func(a, b *target) int { return cmp.Compare(b.demand, a.demand) })
	for round, more := 1, true; more; round, order = round+1, p.targets {
		more = false
		for _, t := range order {
			if rest > 0 && p.minimum(t) >= round {
				t.minimum++
				rest--
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
			t.ideal += float64(rest) * p.weight(t) / sum
		}
	}
}

// minimum returns the number of engines that the manifest demands.
func (p *plan) minimum(t *target) int {
	for i := range p.manifest.Models {
		if p.manifest.Models[i].Name == t.model.Name {
			return p.manifest.Models[i].MinEngines
		}
	}
	return 0
}

// weight returns the part of a model in the sharing of the remaining engines: by demand, without any by the minimums,
// else equal.
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

// fill gives a model to each engine that has none.
func (p *plan) fill() {
	for _, a := range p.assignments {
		if a.settled || len(a.want) > 0 || len(p.targets) == 0 {
			continue
		}
		best := p.targets[0]
		for _, t := range p.targets[1:] {
			if t.before(best) {
				best = t
			}
		}
		p.assign(a, best)
	}
}

// assign replaces the models of an engine.
func (p *plan) assign(a *assignment, t *target) {
	for _, name := range namesOf(a.want) {
		p.byName[name].assigned--
		p.byName[name].serving--
	}
	a.want, a.reason, a.cause = []upstream.Loaded{t.model}, t.reason(), t
	t.assigned++
}

// move takes engines from models that have more than they need and gives them to those that lack some.
func (p *plan) move() {
	for range p.loads {
		var best *target
		for _, t := range p.targets {
			if best == nil || t.before(best) {
				best = t
			}
		}
		if best == nil {
			return
		}
		a, surplus := p.source(best)
		if a == nil || best.reason().rank() >= ReasonDemand.rank() && surplus+best.missing() <= moveThreshold {
			return
		}
		p.assign(a, best)
	}
}

// source returns the engine that t gets and by how much its models exceed their ideal numbers. Engines that have to load
// another version anyway come first.
func (p *plan) source(t *target) (best *assignment, surplus float64) {
	outdated := false
	for _, a := range p.assignments {
		if a.settled || a.cause != nil || len(a.want) == 0 || hasName(a.want, t.model.Name) {
			continue
		}
		least, free := 0.0, true
		for i, name := range namesOf(a.want) {
			x := p.byName[name]
			free = free && x.spare()
			if i == 0 || -x.missing() < least {
				least = -x.missing()
			}
		}
		old := !p.wanted(a.want)
		if free && (best == nil || least > surplus || least == surplus && old && !outdated) {
			best, surplus, outdated = a, least, old
		}
	}
	return best, surplus
}

// update replaces earlier versions, on one engine of each model at a time. While no engine can be spared, the engine
// loads the current version beside the earlier one.
func (p *plan) update() {
	for _, t := range p.targets {
		if t.updating {
			continue
		}
		for _, a := range p.assignments {
			if a.settled || a.cause != nil || !hasName(a.want, t.model.Name) || contains(a.want, t.model) {
				continue
			}
			others := slices.DeleteFunc(slices.Clone(a.want), func(m upstream.Loaded) bool { return m.Name == t.model.Name })
			if t.serving > t.floor() || p.ignoreFloor {
				t.serving--
				a.want = append(others, t.model)
			} else {
				a.want = append(slices.Clone(a.want), t.model)
			}
			a.reason, a.cause, t.updating = ReasonVersion, t, true
			break
		}
	}
}

// changes returns the assignments that need an order, as far as the limit of concurrent loads allows.
func (p *plan) changes() []*assignment {
	var list []*assignment
	for _, a := range p.assignments {
		u := p.underway[a.engine.ID]
		switch {
		case !a.settled && !same(a.want, a.engine.Models):
			list = append(list, a)
		case a.settled && u != nil && p.now >= u.next && p.now-a.engine.At <= staleAfter && p.wanted(u.models) &&
			!same(a.want, a.engine.Models):
			a.reason = ReasonRepeat
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b *assignment) int {
		if c := cmp.Compare(a.reason.rank(), b.reason.rank()); c != 0 || a.cause == nil || b.cause == nil {
			return c
		}
		return cmp.Compare(b.cause.demand, a.cause.demand)
	})
	return slices.DeleteFunc(list, func(a *assignment) bool {
		if a.reason == ReasonRepeat || !a.loads() {
			return false
		}
		p.loads--
		return p.loads < 0
	})
}

package upstream

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
)

// Snapshot is an immutable set of the known upstreams, with the selectable ones grouped by model and by service.
type Snapshot struct {
	byID     map[poplarwinch.UpstreamID]*Upstream
	all      []*Upstream
	engines  map[modelKey]*Group
	services map[poplarwinch.ServiceName]*Group
}

type modelKey struct {
	model   poplarwinch.ModelName
	adapter poplarwinch.AdapterName
}

// Engines returns the engines that are up and have the model and, unless it is empty, the adapter loaded.
func (s *Snapshot) Engines(model poplarwinch.ModelName, adapter poplarwinch.AdapterName) *Group {
	if g, ok := s.engines[modelKey{model, adapter}]; ok {
		return g
	}
	return &emptyGroup
}

// Servers returns the servers of a plain service that are up.
func (s *Snapshot) Servers(service poplarwinch.ServiceName) *Group {
	if g, ok := s.services[service]; ok {
		return g
	}
	return &emptyGroup
}

// Lookup returns the known upstream with the id, in any state.
func (s *Snapshot) Lookup(id poplarwinch.UpstreamID) (*Upstream, bool) {
	u, ok := s.byID[id]
	return u, ok
}

// All returns the known upstreams in any state, ordered by id. The result must not be modified.
func (s *Snapshot) All() []*Upstream { return s.all }

// add adds an upstream; it is called only while the snapshot is built.
func (s *Snapshot) add(u *Upstream, models []LoadedModel) {
	s.byID[u.ID] = u
	s.all = append(s.all, u)
	if !u.Selectable() {
		return
	}
	if u.Kind == KindService {
		name := poplarwinch.ServiceName(u.Pool)
		if s.services[name] == nil {
			s.services[name] = &Group{}
		}
		s.services[name].All = append(s.services[name].All, u)
		return
	}
	for _, m := range models {
		s.addEngine(modelKey{m.Name, ""}, u)
		for _, a := range m.Adapters {
			s.addEngine(modelKey{m.Name, a.Name}, u)
		}
	}
}

func (s *Snapshot) addEngine(key modelKey, u *Upstream) {
	if s.engines[key] == nil {
		s.engines[key] = &Group{}
	}
	if all := s.engines[key].All; len(all) == 0 || all[len(all)-1] != u {
		s.engines[key].All = append(all, u)
	}
}

// finish sorts the upstreams and the groups once all upstreams have been added.
func (s *Snapshot) finish() {
	slices.SortFunc(s.all, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for key, g := range s.engines {
		g.finish(string(key.model))
	}
	for name, g := range s.services {
		g.finish(string(name))
	}
}

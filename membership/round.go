package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// round is the work of one interval.
type round struct {
	probe     Member   // empty id: nobody to probe
	exchanges []Member // targets inside the domain, also silent ones and candidates
	foreign   []Member // targets in other domains
}

// nextRound advances the timers to now and selects the work of the next interval.
func (m *Members) nextRound(now clock.Millis) round {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if gap := now - m.lastRound; gap > pauseLimit {
		for _, r := range m.records {
			r.since += gap
		}
	}
	m.lastRound = now
	m.expire(now)
	var r round
	number := uint64(now / interval)
	if target, ok := m.rotation(number, "probe"); ok {
		r.probe = target
	}
	if target, ok := m.rotation(number, "exchange"); ok {
		r.exchanges = append(r.exchanges, target)
	}
	if silent := m.silent(); len(silent) > 0 {
		r.exchanges = append(r.exchanges, silent[m.random.IntN(len(silent))])
	}
	r.foreign = m.foreignTargets()
	return r
}

// expire declares suspects dead after the suspicion timeout and forgets old records.
func (m *Members) expire(now clock.Millis) {
	changed := false
	for id, r := range m.records {
		switch {
		case r.State == StateSuspect && now-r.since >= suspicionTimeout:
			dead := r.Member
			dead.State = StateDead
			m.change(r, dead, "")
			changed = true
		case !r.State.live() && id != m.self.ID && now-r.since >= retention:
			delete(m.records, id)
			changed = true
		}
	}
	if changed {
		m.publish()
	}
}

// livePeers returns the other live members, sorted by id so that seeded choices repeat.
func (m *Members) livePeers() []Member {
	var peers []Member
	for id, r := range m.records {
		if id != m.self.ID && r.State.live() {
			peers = append(peers, r.Member)
		}
	}
	slices.SortFunc(peers, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// rotation returns the peer that is as many places after this instance in the sorted list of live
// members as a hash of the round's number says. Instances with the same view and time select
// different peers, so that each is probed once a second. With independent choices one of ten
// crashed members of 90 stayed unprobed for more than 6 s in some runs.
func (m *Members) rotation(number uint64, purpose string) (Member, bool) {
	live := m.view.Load().Live
	self, ok := slices.BinarySearchFunc(live, m.self.ID, func(l Member, id poplarwinch.InstanceID) int { return cmp.Compare(l.ID, id) })
	if !ok || len(live) < 2 {
		return Member{}, false
	}
	distance := 1 + mixHashes(number, xxhash.Sum64String(purpose))%uint64(len(live)-1)
	return live[(uint64(self)+distance)%uint64(len(live))], true
}

// silent returns dead members, and candidates at whose address no live member is known.
func (m *Members) silent() []Member {
	used := map[string]bool{m.self.Address: true}
	var dead []Member
	for _, r := range m.records {
		used[r.Address] = used[r.Address] || r.State != StateDead
		if r.State == StateDead {
			dead = append(dead, r.Member)
		}
	}
	list := slices.DeleteFunc(dead, func(d Member) bool { return used[d.Address] })
	for _, d := range list {
		used[d.Address] = true
	}
	for _, c := range slices.Concat(m.seeds, m.candidates) {
		if !used[c.Address] && (c.FailureDomain == "" || c.FailureDomain == m.self.FailureDomain) {
			used[c.Address] = true
			list = append(list, Member{Address: c.Address, FailureDomain: c.FailureDomain})
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// foreignTargets returns one target in each other domain to which this instance is a delegate.
func (m *Members) foreignTargets() []Member {
	choices := map[poplarwinch.FailureDomain][]Member{}
	for domain, l := range m.contacts {
		choices[domain] = slices.Clone(l)
	}
	for _, c := range slices.Concat(m.seeds, m.candidates) {
		if d := c.FailureDomain; d != "" && d != m.self.FailureDomain && len(m.contacts[d]) <= 1 {
			choices[d] = append(choices[d], Member{Address: c.Address, FailureDomain: d})
		}
	}
	v := m.view.Load()
	var targets []Member
	for _, domain := range slices.Sorted(maps.Keys(choices)) {
		if slices.Contains(v.Delegates(domain), m.self.ID) {
			l := choices[domain]
			targets = append(targets, l[m.random.IntN(len(l))])
		}
	}
	return targets
}

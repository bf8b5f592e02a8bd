package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

// delegateCount is the number of members of a domain that exchange with each other domain. The second
// one covers the time until a failure of the first is detected.
const delegateCount = 2

// View is an immutable snapshot of the membership.
type View struct {
	// Self is this instance's own record.
	Self Member
	// Live are the live members of the domain, sorted by ID, including this instance until it leaves.
	Live []Member
	// Known are all known members of the domain, including dead ones and those that left, sorted by ID.
	Known []Member
	// Contacts are members of other domains for exchanges between domains, at most contactLimit for each domain.
	Contacts map[poplarwinch.FailureDomain][]Member

	hashes []uint64 // of the IDs in Live
}

// Owners returns the n live members with the highest rendezvous hash for key, highest first.
func (v *View) Owners(key string, n int) []poplarwinch.InstanceID {
	return v.owners(key, n, func(*Member) bool { return true })
}

// owners does the same among the live members that are eligible.
func (v *View) owners(key string, n int, isEligible func(m *Member) bool) []poplarwinch.InstanceID {
	n = min(n, len(v.Live))
	if n <= 0 {
		return nil
	}
	type scored struct {
		score uint64
		index int
	}
	best := make([]scored, 0, n+1)
	base := xxhash.Sum64String(key)
	for i, h := range v.hashes {
		s := scored{mixHashes(base, h), i}
		if !isEligible(&v.Live[i]) || len(best) == n && s.score <= best[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	ids := make([]poplarwinch.InstanceID, len(best))
	for i, s := range best {
		ids[i] = v.Live[s.index].ID
	}
	return ids
}

// Owns reports whether this instance is one of the n owners of key.
func (v *View) Owns(key string, n int) bool {
	return slices.Contains(v.Owners(key, n), v.Self.ID)
}

// ShouldOwn reports whether this instance is one of the n owners of key, or would be one without the members that are suspected of having
// failed. It is for duties that may have more owners for a while, and that have to be done before an owner is known to be dead.
func (v *View) ShouldOwn(key string, n int) bool {
	owners := v.owners(key, n, func(m *Member) bool { return m.State != StateSuspect || m.ID == v.Self.ID })
	return v.Owns(key, n) || slices.Contains(owners, v.Self.ID)
}

// Delegates returns the members of this domain that exchange with the given other domain.
func (v *View) Delegates(domain poplarwinch.FailureDomain) []poplarwinch.InstanceID {
	return v.Owners(delegateKey(domain), delegateCount)
}

// Member returns the record of a known member of the domain.
func (v *View) Member(id poplarwinch.InstanceID) (Member, bool) {
	index, ok := slices.BinarySearchFunc(v.Known, id, func(m Member, id poplarwinch.InstanceID) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.Known[index], true
}

func delegateKey(domain poplarwinch.FailureDomain) string { return "delegate/" + string(domain) }

// mixHashes combines two hashes with the finalizer of splitmix64, so that Owners hashes its key only once.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

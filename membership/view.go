package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

// delegateCount is the number of members that speak for their domain to each other domain: the
// second one covers the time until the death of the first is noticed.
const delegateCount = 2

// View is an immutable picture of the membership.
type View struct {
	// Self is this instance's own record.
	Self Member
	// Live are the live members of the domain, sorted by id; they include this instance until it leaves.
	Live []Member
	// Known are all members of the domain, also dead ones and those that left, sorted by id.
	Known []Member
	// Contacts are members of other domains that recently answered, at most a few for each domain.
	Contacts map[poplarwinch.FailureDomain][]Member

	hashes []uint64 // of the ids in Live
}

// Owners returns the n live members with the highest rendezvous hash for key, best first.
func (v *View) Owners(key string, n int) []poplarwinch.InstanceID {
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
		if len(best) == n && s.score <= best[n-1].score {
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

// Delegates returns the members of this domain that exchange with the given other domain.
func (v *View) Delegates(domain poplarwinch.FailureDomain) []poplarwinch.InstanceID {
	return v.Owners(delegateKey(domain), delegateCount)
}

// Member returns the record of a known member of the domain.
func (v *View) Member(id poplarwinch.InstanceID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Known, id, func(m Member, id poplarwinch.InstanceID) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}
	return v.Known[i], true
}

func delegateKey(domain poplarwinch.FailureDomain) string { return "delegate/" + string(domain) }

// mixHashes combines two hashes (finalizer of splitmix64), so that an owner lookup hashes its key only once.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package quarantine

import (
	"bytes"
	"cmp"
	"math"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// blockingDeaths is the number of deaths from which a suspect is blocked.
	blockingDeaths = 3
	// minSuccessiveDeaths is the least number of these that came one after the other, each of a request that was sent after the death
	// before. Engines that die at the same moment for another reason count as one.
	minSuccessiveDeaths = 2
	// partDelay is the age from which a death counts against a part. Answers that clear a part which many requests have in common, and
	// reports of the same death for other suspects, are known to all instances by then.
	partDelay = clock.Second
	// minDeriveInterval is the least time between two derivations of the blocks, since reports change suspects often while servers crash.
	minDeriveInterval clock.Millis = 20
	// maxGroups bounds the groups that are blocked at a time.
	maxGroups = 64
	// minGroupsOfSurvived is the number of groups among which the deaths of a part that engines have survived before are divided, and
	// from which the part itself is blamed for them: it is likelier that it became harmful than that so many others are.
	minGroupsOfSurvived = 3
)

// block is the decision to reject the requests that have all suspects of a group of parts, or one whole request.
type block struct {
	// others are the suspects of the group besides the one under which the block is kept.
	others []Fingerprint
	// lastDeathAt is the time of the latest death of the group.
	lastDeathAt clock.Millis
	// failedTrials is the number of requests that were allowed in spite of the block and crashed their engines.
	failedTrials int
}

// blockSet has the blocks at a time.
type blockSet struct {
	// byLeader has each block under one suspect of its group.
	byLeader map[Fingerprint]block
	// members are the suspects of all groups.
	members map[Fingerprint]bool
	// groups is the number of groups.
	groups int
	// due is the time at which the blocks are to be derived again, since further deaths count then; zero if no death is that recent.
	due clock.Millis
	// derivedAt is the time at which the blocks were derived.
	derivedAt clock.Millis
}

// findBlocks derives which requests are rejected.
//
// A request that crashes an engine makes suspects of all that ran there, so that the deaths of sound suspects are among those of the one
// at fault. Deaths are therefore attributed to the suspect with the most of them first, and don't count for the others then. Suspects
// with the same deaths can't be told apart: they form a group, and only requests that have all of its parts are rejected. A request that
// has some of them runs, and its answer or its crash shows which one it is. Suspects that engines have survived before are considered last.
// survivedAt returns the time at which an engine last survived a suspect; zero if that is not known.
func findBlocks(suspects map[Fingerprint]Suspect, survivedAt func(Fingerprint) clock.Millis, now clock.Millis) *blockSet {
	b := &blockSet{byLeader: map[Fingerprint]block{}, members: map[Fingerprint]bool{}, derivedAt: now}
	var fresh, survived []candidate
	for _, s := range suspects {
		c, ok := b.candidate(&s, now)
		switch {
		case !ok:
		case survivedAt(s.Fingerprint) == 0:
			fresh = append(fresh, c)
		default:
			survived = append(survived, c)
		}
	}
	attributed := attributedDeaths{}
	b.attribute(fresh, attributed, math.MaxInt)
	b.attribute(survived, attributed, minGroupsOfSurvived)
	return b
}

// candidate returns the suspect with its deaths that count now, if there are enough to block it.
func (b *blockSet) candidate(s *Suspect, now clock.Millis) (candidate, bool) {
	if len(s.Deaths) < blockingDeaths || s.expired(now) {
		return candidate{}, false
	}
	deaths := s.unclearedDeaths()
	if len(deaths) < blockingDeaths {
		return candidate{}, false
	}
	c := candidate{fingerprint: s.Fingerprint, position: s.Position, lastDeathAt: deaths[len(deaths)-1].At, failedTrials: failedTrials(deaths)}
	for _, d := range deaths {
		due := d.At + partDelay
		if s.Position > 0 && due > now {
			if b.due == 0 || due < b.due {
				b.due = due
			}
			continue
		}
		c.deaths = append(c.deaths, d)
	}
	return c, len(c.deaths) >= blockingDeaths
}

// attribute adds the blocks for the deaths of the candidates that are not attributed yet. Deaths that are divided among as many groups as
// shared count against a candidate nevertheless.
func (b *blockSet) attribute(candidates []candidate, attributed attributedDeaths, shared int) {
	slices.SortFunc(candidates, candidate.compare)
	for b.groups < maxGroups {
		best := -1
		for i := range candidates {
			c := &candidates[i]
			if shared == math.MaxInt || attributed.groupsOf(c.deaths) < shared {
				c.deaths = slices.DeleteFunc(c.deaths, attributed.has)
			}
			if _, enough := blockedFrom(c.deaths); enough && (best < 0 || len(c.deaths) > len(candidates[best].deaths)) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		candidates = b.add(candidates, best, attributed)
	}
}

// add adds the block for a candidate and those with the same deaths, and returns the remaining candidates. If there are whole requests
// among them, each of these is blocked by itself, as no request has two of them; the parts are not blocked then, since a request is more
// specific.
func (b *blockSet) add(candidates []candidate, leader int, attributed attributedDeaths) []candidate {
	l := candidates[leader]
	var remaining []candidate
	var requests, parts []Fingerprint
	for i := range candidates {
		c := &candidates[i]
		switch {
		case len(c.deaths) != len(l.deaths) || !c.hasAll(l.deaths):
			remaining = append(remaining, *c)
			continue
		case c.position == 0:
			requests = append(requests, c.fingerprint)
		default:
			parts = append(parts, c.fingerprint)
		}
		b.members[c.fingerprint] = true
	}
	added := block{lastDeathAt: l.lastDeathAt, failedTrials: l.failedTrials}
	for _, f := range requests {
		b.byLeader[f] = added
	}
	if len(requests) == 0 {
		added.others = parts[1:]
		b.byLeader[parts[0]] = added
	}
	b.groups++
	attributed.add(l.deaths, b.groups)
	return remaining
}

// blockedFrom returns the time of the death that is enough, with those before, to block a suspect. The deaths are ordered by time.
func blockedFrom(deaths []Death) (at clock.Millis, ok bool) {
	successive, last := 0, clock.Millis(0)
	for i, d := range deaths {
		if successive == 0 || d.sentAt() >= last {
			successive, last = successive+1, d.At
		}
		if i+1 >= blockingDeaths && successive >= minSuccessiveDeaths {
			return d.At, true
		}
	}
	return 0, false
}

// candidate is a suspect with enough deaths to be blocked.
type candidate struct {
	fingerprint Fingerprint
	position    int
	// deaths are those that count and are not attributed to another suspect.
	deaths []Death
	// lastDeathAt is the time of the latest death, also of one that doesn't count yet.
	lastDeathAt  clock.Millis
	failedTrials int
}

// hasAll reports whether the deaths are all among the candidate's.
func (c *candidate) hasAll(deaths []Death) bool {
	for _, d := range deaths {
		if !slices.ContainsFunc(c.deaths, d.sameAs) {
			return false
		}
	}
	return true
}

// compare orders candidates from specific to general. The first one of a group is named in the error for its requests.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(other.specificity(), c.specificity()),
		bytes.Compare(c.fingerprint[:], other.fingerprint[:]),
	)
}

// specificity is larger for suspects that fewer requests have in common.
func (c candidate) specificity() int {
	if c.position == 0 {
		return math.MaxInt
	}
	return c.position
}

// attributedDeaths has the deaths that are attributed to a group, by engine.
type attributedDeaths map[poplarwinch.UpstreamID][]attributedDeath

// attributedDeath is a death with the number of the group to which it is attributed.
type attributedDeath struct {
	Death
	group int
}

func (a attributedDeaths) add(deaths []Death, group int) {
	for _, d := range deaths {
		a[d.Upstream] = append(a[d.Upstream], attributedDeath{Death: d, group: group})
	}
}

func (a attributedDeaths) has(d Death) bool {
	return slices.ContainsFunc(a[d.Upstream], func(o attributedDeath) bool { return o.sameAs(d) })
}

// groupsOf returns the number of groups to which the deaths are attributed.
func (a attributedDeaths) groupsOf(deaths []Death) int {
	groups := map[int]bool{}
	for _, d := range deaths {
		for _, o := range a[d.Upstream] {
			if o.sameAs(d) {
				groups[o.group] = true
			}
		}
	}
	return len(groups)
}

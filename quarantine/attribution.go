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
	// minSuccessiveDeaths is the least number of these that came one after the other: of an engine that was alive after the death before was
	// noticed. Engines that die at the same moment for another reason count as one, however long it takes to notice each.
	minSuccessiveDeaths = 2
	// partDelay is the age from which a death counts against a part. Answers that clear a part which many requests have in common, and
	// reports of the same death for other suspects, are known to all instances by then.
	partDelay = clock.Second
	// minDeriveInterval is the least time between two derivations of the blocks, since reports change suspects often while servers crash.
	minDeriveInterval clock.Millis = 20
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
	// failedTrials is the number of single requests that were allowed in spite of the block and crashed their engines.
	failedTrials int
}

// blockSet has the blocks at a time.
type blockSet struct {
	// byLeader has each block under one suspect of its group.
	byLeader map[Fingerprint]block
	// suspects are all that may be at fault: those of all groups, and parts with the same deaths as a whole request that is blocked.
	suspects map[Fingerprint]bool
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
// has some of them runs, and its answer or its crash shows which one it is. Suspects with a complete answer before are considered last.
// survivalOf returns what engines have survived of a suspect.
func findBlocks(suspects map[Fingerprint]Suspect, survivalOf func(Fingerprint) survival, now clock.Millis) *blockSet {
	b := &blockSet{byLeader: map[Fingerprint]block{}, suspects: map[Fingerprint]bool{}, derivedAt: now}
	var fresh, survived []*candidate
	for _, s := range suspects {
		c := b.candidate(&s, now)
		if c == nil {
			continue
		}
		known := survivalOf(s.Fingerprint)
		if c.answered = known.answered; known.completedAt > 0 {
			survived = append(survived, c)
		} else {
			fresh = append(fresh, c)
		}
	}
	a := &attribution{blocks: b, attributed: map[poplarwinch.UpstreamID][]attributedDeath{}}
	a.run(fresh, math.MaxInt)
	a.run(survived, minGroupsOfSurvived)
	return b
}

// candidate returns the suspect with its deaths that count now, or nil if they are not enough to block it.
func (b *blockSet) candidate(s *Suspect, now clock.Millis) *candidate {
	if len(s.Deaths) < blockingDeaths || s.expired(now) {
		return nil
	}
	deaths := s.unclearedDeaths()
	if len(deaths) < blockingDeaths {
		return nil
	}
	c := &candidate{fingerprint: s.Fingerprint, position: s.Position, lastDeathAt: deaths[len(deaths)-1].At, failedTrials: failedTrials(deaths)}
	var due clock.Millis
	c.deaths, due = s.countingDeaths(now)
	b.due = earlier(b.due, due)
	if len(c.deaths) < blockingDeaths {
		return nil
	}
	return c
}

// add adds the block of a group of suspects with the same deaths, which are ordered from specific to general. If there are whole requests
// among them, each of these is blocked by itself, as no request has two of them; the parts are not blocked then, since a request is more
// specific.
func (b *blockSet) add(group []*candidate) {
	added := block{lastDeathAt: group[0].lastDeathAt, failedTrials: group[0].failedTrials}
	for _, c := range group {
		b.suspects[c.fingerprint] = true
		if c.position == 0 {
			b.byLeader[c.fingerprint] = added
		}
	}
	if group[0].position == 0 {
		return
	}
	for _, c := range group[1:] {
		added.others = append(added.others, c.fingerprint)
	}
	b.byLeader[group[0].fingerprint] = added
}

// blockedFrom returns the time of the death that is enough, with those before, to block a suspect. The deaths are ordered by time.
func blockedFrom(deaths []Death) (at clock.Millis, ok bool) {
	successive, last := 0, clock.Millis(0)
	for i, d := range deaths {
		if successive == 0 || d.aliveAt() >= last {
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
	// answered is the longest time for which an engine went on answering a request with the suspect.
	answered clock.Millis
}

// explains reports whether a part is at fault rather than another one for the deaths that both have: it has no others, and engines went
// on for less time with it.
func (c *candidate) explains(other *candidate) bool {
	return c.position > 0 && other.position > 0 && c.answered < other.answered && len(c.deaths) > 0 &&
		!slices.ContainsFunc(c.deaths, func(d Death) bool { return !slices.ContainsFunc(other.deaths, d.sameAs) })
}

// hasSameDeaths reports whether the deaths are exactly those of the candidate.
func (c *candidate) hasSameDeaths(deaths []Death) bool {
	if len(c.deaths) != len(deaths) {
		return false
	}
	for _, d := range deaths {
		if !slices.ContainsFunc(c.deaths, d.sameAs) {
			return false
		}
	}
	return true
}

// compare orders candidates from specific to general. The first one of a group is named in the error for its requests.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(
		cmp.Compare(other.specificity(), c.specificity()),
		bytes.Compare(c.fingerprint[:], other.fingerprint[:]),
	)
}

// specificity is larger for suspects that fewer requests have in common.
func (c *candidate) specificity() int {
	if c.position == 0 {
		return math.MaxInt
	}
	return c.position
}

// attributedDeath is a death with the number of the group to which it is attributed.
type attributedDeath struct {
	Death
	group int
}

// attribution attributes deaths to groups of suspects.
type attribution struct {
	blocks *blockSet
	// groups is the number of groups so far.
	groups int
	// attributed has the deaths that are attributed to a group, by engine.
	attributed map[poplarwinch.UpstreamID][]attributedDeath
}

// run adds the blocks for the deaths of the candidates that are not attributed yet. Deaths that are divided among as many groups as shared
// count against a candidate nevertheless.
func (a *attribution) run(candidates []*candidate, shared int) {
	slices.SortFunc(candidates, (*candidate).compare)
	byUpstream := map[poplarwinch.UpstreamID][]*candidate{}
	for _, c := range candidates {
		for _, d := range c.deaths {
			byUpstream[d.Upstream] = append(byUpstream[d.Upstream], c)
		}
		a.subtract(c, shared)
	}
	for {
		leader := nextLeader(candidates)
		if leader == nil {
			return
		}
		deaths := leader.deaths
		var group []*candidate
		for _, c := range byUpstream[deaths[0].Upstream] {
			if c.hasSameDeaths(deaths) && (len(group) == 0 || group[len(group)-1] != c) {
				group = append(group, c)
			}
		}
		a.add(group, deaths)
		for _, d := range deaths {
			for _, c := range byUpstream[d.Upstream] {
				a.subtract(c, shared)
			}
		}
	}
}

// add adds a group of candidates with the same deaths.
func (a *attribution) add(group []*candidate, deaths []Death) {
	a.groups++
	for _, d := range deaths {
		a.attributed[d.Upstream] = append(a.attributed[d.Upstream], attributedDeath{Death: d, group: a.groups})
	}
	a.blocks.add(group)
	for _, c := range group {
		c.deaths = nil
	}
}

// subtract removes the deaths from a candidate that are attributed to others, unless these are as many groups as shared.
func (a *attribution) subtract(c *candidate, shared int) {
	groups := map[int]bool{}
	for _, d := range c.deaths {
		for _, o := range a.attributed[d.Upstream] {
			if o.sameAs(d) {
				groups[o.group] = true
			}
		}
	}
	if len(groups) == 0 || len(groups) >= shared {
		return
	}
	c.deaths = slices.DeleteFunc(slices.Clone(c.deaths), func(d Death) bool {
		return slices.ContainsFunc(a.attributed[d.Upstream], func(o attributedDeath) bool { return o.sameAs(d) })
	})
}

// nextLeader returns the candidate to which its deaths are attributed next, or nil if none has enough of them to be blocked: the one with
// the most deaths, unless another one explains these.
func nextLeader(candidates []*candidate) *candidate {
	most := mostDeaths(candidates, func(*candidate) bool { return true })
	for most != nil {
		better := mostDeaths(candidates, func(c *candidate) bool { return c.explains(most) })
		if better == nil {
			break
		}
		most = better
	}
	return most
}

// mostDeaths returns the candidate with the most deaths among those that are accepted and have enough of them to be blocked, and nil if
// there is none.
func mostDeaths(candidates []*candidate, accept func(*candidate) bool) *candidate {
	var most *candidate
	for _, c := range candidates {
		if most != nil && len(c.deaths) <= len(most.deaths) || !accept(c) {
			continue
		}
		if _, enough := blockedFrom(c.deaths); enough {
			most = c
		}
	}
	return most
}

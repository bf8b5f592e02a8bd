package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/invariant"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// maxCandidates is the largest number of candidates in a decision.
	maxCandidates = 4
	// candidateCapacity is the initial capacity of the list of candidates of a decision.
	candidateCapacity = 5
	// maxLongSetWait is the predicted wait in the set for long prompts above which a long prompt may leave the set.
	// Without it, engines outside the set were idle after a surge while long prompts missed their limits.
	maxLongSetWait = 10 * clock.Second
	// maxSearchedEngines is the number of engines that are checked for one without a long prefill.
	maxSearchedEngines = 16
	// forecastSampleSize is the number of engines that a forecast evaluates; all 290 of a large failure domain took 35
	// us for each request.
	forecastSampleSize = 16
	// prefixFactorPercent is the factor of the bound on the prefix choice: it is taken while its prediction is at most
	// 1.25 times the best one plus prefixTolerance. The bound spreads a popular prefix over several engines instead of
	// overloading one.
	prefixFactorPercent = 125
	// prefixTolerance is the constant term of that bound.
	prefixTolerance clock.Millis = 50
	// keyTolerance replaces prefixTolerance for a prompt without whole blocks. It gains nothing from the cache; its preferred
	// engine only brings identical prompts together.
	keyTolerance clock.Millis = 5
	// maxDrainTime bounds the time for which an engine is assumed to have processed work since its load report. If the
	// report is older, the engine may be stuck.
	maxDrainTime = 2 * clock.Second
	// minLowerPriorityDelayMillis is the least assumed delay by work of lower priority, about half a step of a long
	// prefill. It makes short prompts prefer engines without a long prefill.
	minLowerPriorityDelayMillis = 50
	// minLowerPriorityTokens is the amount of lower-priority work, in tokens, below which no delay is learned from it.
	minLowerPriorityTokens = 16_384
)

// Router selects upstreams. Its decisions take no lock.
type Router struct {
	clock              *clock.Clock
	domain             poplarwinch.FailureDomain
	random             func() uint64
	prefillRate        int64
	interferenceMicros int64
	violated           invariant.Report
	prefixes           *PrefixIndex
	// lowerPriorityDelayMillis is the learned delay by work of lower priority.
	lowerPriorityDelayMillis atomic.Int64
	arrivals                 sync.Map // poplarwinch.ModelName to *arrivals
}

// New returns a router.
func New(opts ...Option) *Router {
	r := &Router{
		clock: clock.System(), random: rand.Uint64, prefillRate: 10_000, interferenceMicros: 500, violated: invariant.Log,
	}
	r.lowerPriorityDelayMillis.Store(minLowerPriorityDelayMillis)
	for _, opt := range opts {
		opt(r)
	}
	if r.prefixes == nil {
		r.prefixes = NewPrefixIndex(r.clock)
	}
	return r
}

// Prefixes returns the index of cached prefix blocks, which cache events update.
func (r *Router) Prefixes() *PrefixIndex { return r.prefixes }

// Sent records that the prompt was sent to u. Call it once for each attempt, when the stream is opened.
func (r *Router) Sent(u *upstream.Upstream, p *Prompt) { r.prefixes.Stored(u, p.Blocks) }

// Engine selects an engine for the prompt. The error is a *poplarwinch.Error of kind unavailable.
func (r *Router) Engine(s *upstream.Snapshot, p *Prompt) (Decision, error) {
	now := r.clock.Now()
	recentArrivals := r.recentArrivals(p.Model)
	if len(p.Avoid) == 0 {
		recentArrivals.add(now, p)
	}
	group := s.Engines(p.Model, p.Adapter)
	engines := group.LocalOrAll(r.domain)
	d := r.selectEngine(now, engines, recentArrivals.recentLongSetSize(now, len(engines)), p)
	if d.Upstream == nil && len(engines) < len(group.All) {
		d = r.selectEngine(now, group.All, 0, p)
	}
	if d.Upstream == nil {
		return Decision{}, noEngine(p, len(group.All))
	}
	if d.Upstream.FailureDomain != r.domain && r.domain != "" {
		d.Reason = ReasonOtherDomain
	}
	r.checkInvariants(now, d.Upstream, p.Avoid)
	return d, nil
}

// Forecast predicts the best time to first token over the eligible engines of the own failure domain. It reports false
// when there is none. In a large failure domain it evaluates a sample, starting at a random engine.
func (r *Router) Forecast(s *upstream.Snapshot, p *Prompt) (f Forecast, ok bool) {
	now := r.clock.Now()
	engines := s.Engines(p.Model, p.Adapter).LocalOrAll(r.domain)
	n := min(len(engines), forecastSampleSize)
	if n == 0 {
		return Forecast{}, false
	}
	consider := func(c *Candidate, rate int64) {
		if !ok || c.Predicted < f.TimeToFirstToken {
			f.TimeToFirstToken, f.Wait, ok = c.Predicted, r.wait(c, p, rate), true
		}
	}
	start := int(r.random() % uint64(len(engines)))
	for i := range n {
		u := engines[(start+i*len(engines)/n)%len(engines)]
		if !eligible(u, p.Avoid) {
			continue
		}
		c := r.estimate(now, u, p, 0)
		rate := r.rate(u.Load())
		f.TokensPerSecond += rate
		consider(&c, rate)
	}
	// The engine with the prompt's prefix may be much faster than the others.
	if u := r.prefixHolder(engines, p); u != nil {
		c := r.candidate(now, u, p)
		consider(&c, r.rate(u.Load()))
	}
	f.TokensPerSecond = f.TokensPerSecond * int64(len(engines)) / int64(n)
	return f, ok
}

// preferred returns the engines among which the prompt's candidates are drawn. The first longCount engines are the set
// for long prompts.
func preferred(engines []*upstream.Upstream, longCount int, p *Prompt) []*upstream.Upstream {
	if p.Class == ClassLong && longCount > 0 {
		return engines[:longCount]
	}
	return engines
}

func (r *Router) selectEngine(now clock.Millis, engines []*upstream.Upstream, longCount int, p *Prompt) Decision {
	preferred := preferred(engines, longCount, p)
	list := make([]Candidate, 0, candidateCapacity)
	if u := r.rendezvous(preferred, p); u != nil {
		list = append(list, r.candidate(now, u, p))
	}
	hashedCount := len(list)
	if u := r.prefixHolder(engines, p); u != nil && !listContains(list, u) {
		list = append(list, r.candidate(now, u, p))
	}
	list = r.sample(now, list, preferred, 2, p)
	if p.Class != ClassLong {
		list = r.sampleWithoutLongPrefill(now, list, engines, p)
	}
	if len(list) == 0 {
		list = r.sample(now, list, engines, 2, p)
	}
	if len(list) == 0 {
		return Decision{}
	}
	if p.Class == ClassLong && r.exceedsLongSetWait(list, p) {
		list = r.sample(now, list, engines[longCount:], 1, p)
	}
	best := 0
	for i := range list {
		if list[i].Predicted < list[best].Predicted {
			best = i
		}
	}
	reason := ReasonShortestWait
	switch {
	case hashedCount > 0 && prefersPrefix(&list[0], &list[best], p):
		best, reason = 0, ReasonPrefix
	case list[best].Cached > 0:
		reason = ReasonPrefix
	case slices.Contains(engines[:longCount], list[best].Upstream) && p.Class == ClassLong:
		reason = ReasonLongSet
	}
	list[0], list[best] = list[best], list[0]
	list = r.sample(now, list, engines, maxCandidates-len(list), p)
	if len(list) == 1 {
		reason = ReasonOnly
	}
	slices.SortFunc(list[1:], func(a, b Candidate) int { return cmp.Compare(a.Predicted, b.Predicted) })
	list = list[:min(len(list), maxCandidates)]
	return Decision{Upstream: list[0].Upstream, Predicted: list[0].Predicted, Reason: reason, Candidates: list}
}

// exceedsLongSetWait reports whether the predicted wait of a long prompt exceeds maxLongSetWait on each candidate.
func (r *Router) exceedsLongSetWait(list []Candidate, p *Prompt) bool {
	return !slices.ContainsFunc(list, func(c Candidate) bool {
		return r.wait(&c, p, r.rate(c.Upstream.Load())) <= maxLongSetWait
	})
}

// prefixHolder returns the eligible engine that most recently stored the prompt's longest known prefix, or nil.
func (r *Router) prefixHolder(engines []*upstream.Upstream, p *Prompt) *upstream.Upstream {
	number, ok := r.prefixes.prefixHolder(p.Blocks)
	if !ok {
		return nil
	}
	for _, u := range engines {
		if u.Number == number {
			if eligible(u, p.Avoid) {
				return u
			}
			return nil
		}
	}
	return nil
}

// prefersPrefix reports whether the prefix choice is taken although best may have a smaller prediction.
func prefersPrefix(prefix, best *Candidate, p *Prompt) bool {
	if p.Class != ClassLong && prefix.LongPrefills > best.LongPrefills {
		return prefix.Predicted <= best.Predicted
	}
	tolerance := prefixTolerance
	if len(p.Blocks) == 0 {
		tolerance = keyTolerance
	}
	return prefix.Predicted <= best.Predicted*prefixFactorPercent/100+tolerance
}

// rendezvous returns the eligible engine to which the prompt's first block, or its key, maps by rendezvous hashing.
func (r *Router) rendezvous(engines []*upstream.Upstream, p *Prompt) *upstream.Upstream {
	key := p.Key
	if len(p.Blocks) > 0 {
		key = p.Blocks[0]
	}
	if key == 0 {
		return nil
	}
	var best *upstream.Upstream
	var weight uint64
	for _, u := range engines {
		if w := upstream.RendezvousWeight(key, u.Hash); (best == nil || w > weight) && eligible(u, p.Avoid) {
			best, weight = u, w
		}
	}
	return best
}

// sample appends up to n random eligible engines that are not yet in the list.
func (r *Router) sample(now clock.Millis, list []Candidate, engines []*upstream.Upstream, n int, p *Prompt) []Candidate {
	for ; n > 0 && len(engines) > 0; n-- {
		start := int(r.random() % uint64(len(engines)))
		u := nextEligible(list, engines, start, p.Avoid)
		if u == nil {
			break
		}
		list = append(list, r.candidate(now, u, p))
	}
	return list
}

// sampleWithoutLongPrefill appends a random eligible engine without a long prefill, if it finds one among
// maxSearchedEngines engines.
func (r *Router) sampleWithoutLongPrefill(now clock.Millis, list []Candidate, engines []*upstream.Upstream, p *Prompt) []Candidate {
	if len(engines) == 0 {
		return list
	}
	start := int(r.random() % uint64(len(engines)))
	for i := range min(len(engines), maxSearchedEngines) {
		u := engines[(start+i)%len(engines)]
		if u.LongPrefills() == 0 && eligible(u, p.Avoid) && !listContains(list, u) {
			return append(list, r.candidate(now, u, p))
		}
	}
	return list
}

func listContains(list []Candidate, u *upstream.Upstream) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.Upstream == u })
}

func nextEligible(list []Candidate, engines []*upstream.Upstream, start int, avoid []poplarwinch.UpstreamID) *upstream.Upstream {
	for i := range engines {
		u := engines[(start+i)%len(engines)]
		if eligible(u, avoid) && !listContains(list, u) {
			return u
		}
	}
	return nil
}

// candidate predicts the time to first token of the prompt on u.
func (r *Router) candidate(now clock.Millis, u *upstream.Upstream, p *Prompt) Candidate {
	var cached poplarwinch.Tokens
	if blocks := r.prefixes.Cached(u, p.Blocks); blocks > 0 {
		// The text after the last whole block counts as one more block, so the estimate stays below the actual figure.
		cached = p.Tokens * poplarwinch.Tokens(blocks) / poplarwinch.Tokens(len(p.Blocks)+1)
	}
	return r.estimate(now, u, p, cached)
}

func (r *Router) estimate(now clock.Millis, u *upstream.Upstream, p *Prompt, cached poplarwinch.Tokens) Candidate {
	load, known := u.Load(), u.Prefill()
	c := Candidate{
		Upstream: u, Cached: cached, LongPrefills: known.Prompts[upstream.Priorities-1],
		Running: max(load.RunningRequests, u.Running()),
	}
	rate := r.rate(load)
	for i, tokens := range reported(load, &known, rate, now) {
		if tokens += known.Pending[i]; i <= p.Class.Priority() {
			c.Waiting += tokens
		} else {
			c.LowerWaiting += tokens
		}
	}
	c.Predicted = clock.Millis(int64(p.Tokens-cached)*1000/rate) + r.wait(&c, p, rate)
	return c
}

// reported splits the waiting work in the load report by priority and subtracts what the engine has processed since.
func reported(load *upstream.Load, known *upstream.Prefill, rate int64, now clock.Millis) [upstream.Priorities]poplarwinch.Tokens {
	var parts [upstream.Priorities]poplarwinch.Tokens
	left := load.WaitingPrefillTokens
	for i := upstream.Priorities - 1; i > 0; i-- {
		parts[i] = min(left, max(0, known.Tokens[i]-known.Pending[i]))
		left -= parts[i]
	}
	parts[0] = left
	drained := poplarwinch.Tokens(rate * int64(max(0, min(now-load.At, maxDrainTime))) / 1000)
	for i := range parts {
		done := min(parts[i], drained)
		parts[i] -= done
		drained -= done
	}
	return parts
}

// wait returns the predicted time for the work ahead of a prompt. Work of lower priority adds the learned delay, but at
// most the time that the work itself takes.
func (r *Router) wait(c *Candidate, p *Prompt, rate int64) clock.Millis {
	lower := c.LowerWaiting
	if c.LongPrefills > 0 && p.Class != ClassLong {
		lower = max(lower, minLowerPriorityTokens)
	}
	delay := min(r.lowerPriorityDelayMillis.Load(), int64(lower)*1000/rate)
	return clock.Millis(int64(c.Waiting)*1000/rate + delay + c.Running*r.interferenceMicros/1000)
}

// Observe records the time to first token of a prompt that ran on the candidate. The router learns from it how long work
// of lower priority delays a prompt: about half a step on engines that honour priorities, and much more on others.
func (r *Router) Observe(c *Candidate, p *Prompt, elapsed clock.Millis) {
	// Later short prompts overtake a medium one, so its wait says little about lower priorities.
	if p.Class != ClassShort || c.LowerWaiting < minLowerPriorityTokens {
		return
	}
	rate := r.rate(c.Upstream.Load())
	base := clock.Millis(int64(c.Waiting+p.Tokens-c.Cached)*1000/rate + c.Running*r.interferenceMicros/1000)
	sample := int64(min(max(elapsed-base, 0), clock.Millis(int64(c.LowerWaiting)*1000/rate)))
	old := r.lowerPriorityDelayMillis.Load()
	// A concurrent sample may be lost, which an average tolerates.
	r.lowerPriorityDelayMillis.CompareAndSwap(old, max(minLowerPriorityDelayMillis, old+(sample-old)/16))
}

func (r *Router) rate(load *upstream.Load) int64 {
	if rate := load.PrefillTokensPerSecond; rate > 0 {
		return rate
	}
	return r.prefillRate
}

func (r *Router) recentArrivals(model poplarwinch.ModelName) *arrivals {
	if a, ok := r.arrivals.Load(model); ok {
		return a.(*arrivals)
	}
	a, _ := r.arrivals.LoadOrStore(model, newArrivals())
	return a.(*arrivals)
}

func eligible(u *upstream.Upstream, avoid []poplarwinch.UpstreamID) bool {
	return u.Selectable() && !slices.Contains(avoid, u.ID)
}

func (r *Router) checkInvariants(startedAt clock.Millis, u *upstream.Upstream, avoid []poplarwinch.UpstreamID) {
	if !u.SelectableSince(startedAt) {
		r.violated("leaving-upstream-not-selected", fmt.Sprintf("%s is %s", u.ID, u.State()))
	}
	if slices.Contains(avoid, u.ID) {
		r.violated("avoided-upstream-not-selected", fmt.Sprintf("%s was selected", u.ID))
	}
}

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
	maxCandidates = 4
	maxEvaluated  = 5
	// A long prompt that would wait longer than this in the set for long prompts may leave it. Without that, engines
	// outside the set idled after a surge while long prompts missed their limits.
	longOverflow = 10 * clock.Second
	// The search for an engine without a long prefill ends after this number of engines.
	freeSample = 16
	// A forecast looks at this number of engines; all 290 of a large failure domain took 35 us for each request.
	forecastSample = 16
	// The prefix choice is taken while its prediction is at most 1.25 times the best one plus 50 ms, so that a popular
	// prefix spreads over several engines instead of overloading one.
	prefixFactorPercent              = 125
	prefixSlack         clock.Millis = 50
	// A prompt without whole blocks has no cache to gain; its preferred engine only keeps copies of it together.
	keySlack clock.Millis = 5
	// A report says nothing about what the engine does later; if it is older than this, the engine may be stuck.
	maxDrain = 2 * clock.Second
	// The smallest delay by work of lower priority, in milliseconds: about half a step of a long prefill. It makes
	// short prompts prefer engines without a long prefill.
	minLowerDelay = 50
	// Less work of lower priority, in tokens, teaches nothing about its delay.
	minLowerWork = 16_384
)

// Router selects upstreams. Its decisions take no lock.
type Router struct {
	clock        *clock.Clock
	domain       poplarwinch.FailureDomain
	random       func() uint64
	prefillRate  int64
	interference int64
	violated     invariant.Report
	prefixes     *PrefixIndex
	// lowerDelay is the learned delay by work of lower priority, in milliseconds.
	lowerDelay atomic.Int64
	arrivals   sync.Map // poplarwinch.ModelName to *arrivals
}

// New returns a router.
func New(opts ...Option) *Router {
	r := &Router{
		clock: clock.System(), random: rand.Uint64, prefillRate: 10_000, interference: 500, violated: invariant.Log,
	}
	r.lowerDelay.Store(minLowerDelay)
	for _, opt := range opts {
		opt(r)
	}
	if r.prefixes == nil {
		r.prefixes = NewPrefixIndex(r.clock)
	}
	return r
}

// Prefixes returns the index of cached prefix blocks, which cache events correct.
func (r *Router) Prefixes() *PrefixIndex { return r.prefixes }

// Sent records that the prompt was sent to u. Call it once for each attempt, when the stream is opened.
func (r *Router) Sent(u *upstream.Upstream, p *Prompt) { r.prefixes.Stored(u, p.Blocks) }

// Engine selects an engine for the prompt. The error is an *poplarwinch.Error of kind unavailable.
func (r *Router) Engine(s *upstream.Snapshot, p *Prompt) (Decision, error) {
	now := r.clock.Now()
	recent := r.recent(p.Model)
	if len(p.Avoid) == 0 {
		recent.add(now, p)
	}
	group := s.Engines(p.Model, p.Adapter)
	engines := group.In(r.domain)
	d := r.engine(now, engines, recent.longSet(now, len(engines)), p)
	if d.Upstream == nil && len(engines) < len(group.All) {
		d = r.engine(now, group.All, 0, p)
	}
	if d.Upstream == nil {
		return Decision{}, noEngine(p, len(group.All))
	}
	if d.Upstream.FailureDomain != r.domain && r.domain != "" {
		d.Reason = ReasonOtherDomain
	}
	r.check(now, d.Upstream, p.Avoid)
	return d, nil
}

// Forecast predicts the best time to first token over the eligible engines. It reports false when there is no engine.
// Of a large fleet it looks at a sample, starting at a random engine.
func (r *Router) Forecast(s *upstream.Snapshot, p *Prompt) (f Forecast, ok bool) {
	now := r.clock.Now()
	engines := s.Engines(p.Model, p.Adapter).In(r.domain)
	n := min(len(engines), forecastSample)
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
	if u := r.holder(engines, p); u != nil {
		c := r.candidate(now, u, p)
		consider(&c, r.rate(u.Load()))
	}
	f.TokensPerSecond = f.TokensPerSecond * int64(len(engines)) / int64(n)
	return f, ok
}

// preferred returns the engines among which the prompt's candidates are drawn; the first longs are for long prompts.
func preferred(engines []*upstream.Upstream, longs int, p *Prompt) []*upstream.Upstream {
	if p.Class == ClassLong && longs > 0 {
		return engines[:longs]
	}
	return engines
}

func (r *Router) engine(now clock.Millis, engines []*upstream.Upstream, longs int, p *Prompt) Decision {
	preferred := preferred(engines, longs, p)
	list := make([]Candidate, 0, maxEvaluated)
	if u := r.rendezvous(preferred, p); u != nil {
		list = append(list, r.candidate(now, u, p))
	}
	prefix := len(list)
	if u := r.holder(engines, p); u != nil && !has(list, u) {
		list = append(list, r.candidate(now, u, p))
	}
	list = r.sample(now, list, preferred, 2, p)
	if p.Class != ClassLong {
		list = r.sampleFree(now, list, engines, p)
	}
	if len(list) == 0 {
		list = r.sample(now, list, engines, 2, p)
	}
	if len(list) == 0 {
		return Decision{}
	}
	if p.Class == ClassLong && r.overflows(list, p) {
		list = r.sample(now, list, engines[longs:], 1, p)
	}
	best := 0
	for i := range list {
		if list[i].Predicted < list[best].Predicted {
			best = i
		}
	}
	reason := ReasonShortestWait
	switch {
	case prefix > 0 && prefixWins(&list[0], &list[best], p):
		best, reason = 0, ReasonPrefix
	case list[best].Cached > 0:
		reason = ReasonPrefix
	case slices.Contains(engines[:longs], list[best].Upstream) && p.Class == ClassLong:
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

// overflows reports whether a long prompt would wait too long on each of the candidates.
func (r *Router) overflows(list []Candidate, p *Prompt) bool {
	return !slices.ContainsFunc(list, func(c Candidate) bool {
		return r.wait(&c, p, r.rate(c.Upstream.Load())) <= longOverflow
	})
}

// holder returns the eligible engine that received the prompt's longest known prefix last, or nil.
func (r *Router) holder(engines []*upstream.Upstream, p *Prompt) *upstream.Upstream {
	number, ok := r.prefixes.holder(p.Blocks)
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

// prefixWins reports whether the prefix choice is taken although best may be predicted faster.
func prefixWins(prefix, best *Candidate, p *Prompt) bool {
	if p.Class != ClassLong && prefix.LongPrefills > best.LongPrefills {
		return prefix.Predicted <= best.Predicted
	}
	slack := prefixSlack
	if len(p.Blocks) == 0 {
		slack = keySlack
	}
	return prefix.Predicted <= best.Predicted*prefixFactorPercent/100+slack
}

// rendezvous returns the eligible engine that the prompt's first block, or its key, hashes to.
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
		if w := upstream.Mix(key, u.Hash); (best == nil || w > weight) && eligible(u, p.Avoid) {
			best, weight = u, w
		}
	}
	return best
}

// sample appends up to n random eligible engines that the list does not have yet.
func (r *Router) sample(now clock.Millis, list []Candidate, engines []*upstream.Upstream, n int, p *Prompt) []Candidate {
	for ; n > 0 && len(engines) > 0; n-- {
		start := int(r.random() % uint64(len(engines)))
		u := next(list, engines, start, p.Avoid)
		if u == nil {
			break
		}
		list = append(list, r.candidate(now, u, p))
	}
	return list
}

// sampleFree appends a random eligible engine without a long prefill, if it finds one soon.
func (r *Router) sampleFree(now clock.Millis, list []Candidate, engines []*upstream.Upstream, p *Prompt) []Candidate {
	if len(engines) == 0 {
		return list
	}
	start := int(r.random() % uint64(len(engines)))
	for i := range min(len(engines), freeSample) {
		u := engines[(start+i)%len(engines)]
		if u.LongPrefills() == 0 && eligible(u, p.Avoid) && !has(list, u) {
			return append(list, r.candidate(now, u, p))
		}
	}
	return list
}

func has(list []Candidate, u *upstream.Upstream) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.Upstream == u })
}

func next(list []Candidate, engines []*upstream.Upstream, start int, avoid []poplarwinch.UpstreamID) *upstream.Upstream {
	for i := range engines {
		u := engines[(start+i)%len(engines)]
		if eligible(u, avoid) && !has(list, u) {
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

// reported splits the work of the load report by priority and subtracts what the engine has processed since.
func reported(load *upstream.Load, known *upstream.Prefill, rate int64, now clock.Millis) [upstream.Priorities]poplarwinch.Tokens {
	var parts [upstream.Priorities]poplarwinch.Tokens
	left := load.WaitingPrefillTokens
	for i := upstream.Priorities - 1; i > 0; i-- {
		parts[i] = min(left, max(0, known.Tokens[i]-known.Pending[i]))
		left -= parts[i]
	}
	parts[0] = left
	drained := poplarwinch.Tokens(rate * int64(max(0, min(now-load.At, maxDrain))) / 1000)
	for i := range parts {
		done := min(parts[i], drained)
		parts[i] -= done
		drained -= done
	}
	return parts
}

// wait returns the time for the work ahead of a prompt. Work of lower priority delays it by what was learned, but
// not by more than that work takes.
func (r *Router) wait(c *Candidate, p *Prompt, rate int64) clock.Millis {
	lower := c.LowerWaiting
	if c.LongPrefills > 0 && p.Class != ClassLong {
		lower = max(lower, minLowerWork)
	}
	delay := min(r.lowerDelay.Load(), int64(lower)*1000/rate)
	return clock.Millis(int64(c.Waiting)*1000/rate + delay + c.Running*r.interference/1000)
}

// Observe records the time to first token of a prompt that ran on the candidate. It teaches the router how long work
// of lower priority delays a prompt: about half a step on engines that honour priorities, and much more on others.
func (r *Router) Observe(c *Candidate, p *Prompt, elapsed clock.Millis) {
	// Later short prompts overtake a medium one, so its wait says little about lower priorities.
	if p.Class != ClassShort || c.LowerWaiting < minLowerWork {
		return
	}
	rate := r.rate(c.Upstream.Load())
	base := clock.Millis(int64(c.Waiting+p.Tokens-c.Cached)*1000/rate + c.Running*r.interference/1000)
	sample := int64(min(max(elapsed-base, 0), clock.Millis(int64(c.LowerWaiting)*1000/rate)))
	old := r.lowerDelay.Load()
	// A concurrent sample may be lost, which an average tolerates.
	r.lowerDelay.CompareAndSwap(old, max(minLowerDelay, old+(sample-old)/16))
}

func (r *Router) rate(load *upstream.Load) int64 {
	if rate := load.PrefillTokensPerSecond; rate > 0 {
		return rate
	}
	return r.prefillRate
}

func (r *Router) recent(model poplarwinch.ModelName) *arrivals {
	if a, ok := r.arrivals.Load(model); ok {
		return a.(*arrivals)
	}
	a, _ := r.arrivals.LoadOrStore(model, newArrivals())
	return a.(*arrivals)
}

func eligible(u *upstream.Upstream, avoid []poplarwinch.UpstreamID) bool {
	return u.Selectable() && !slices.Contains(avoid, u.ID)
}

func (r *Router) check(began clock.Millis, u *upstream.Upstream, avoid []poplarwinch.UpstreamID) {
	if !u.SelectableSince(began) {
		r.violated("leaving-upstream-not-selected", fmt.Sprintf("%s is %s", u.ID, u.State()))
	}
	if slices.Contains(avoid, u.ID) {
		r.violated("avoided-upstream-not-selected", fmt.Sprintf("%s was selected", u.ID))
	}
}

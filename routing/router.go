package routing

import (
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
	// The prefix choice is taken while its prediction is at most 1.25 times the best one plus 50 ms, so that a popular
	// prefix spreads over several engines instead of overloading one.
	prefixFactorPercent              = 125
	prefixSlack         clock.Millis = 50
	// Short prompts take an engine with a long prefill only when it is predicted to be this much faster.
	longPenalty clock.Millis = 50
	// A report says nothing about what the engine does later; if it is older than this, the engine may be stuck.
	maxDrain = 2 * clock.Second
	// The share of work of lower priority that runs before a prompt, in thousandths. It starts at the figure for
	// engines that honour priorities.
	lowerFactorUnit    = 1000
	initialLowerFactor = 20
	minLowerSample     = 16_384
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
	lowerFactor  atomic.Int64
	arrivals     sync.Map // poplarwinch.ModelName to *arrivals
}

// New returns a router.
func New(opts ...Option) *Router {
	r := &Router{
		clock: clock.System(), random: rand.Uint64, prefillRate: 10_000, interference: 500, violated: invariant.Log,
	}
	r.lowerFactor.Store(initialLowerFactor)
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
	r.check(d.Upstream, p.Avoid)
	return d, nil
}

// Forecast predicts the best time to first token over the eligible engines. It reports false when there is no engine.
func (r *Router) Forecast(s *upstream.Snapshot, p *Prompt) (f Forecast, ok bool) {
	now := r.clock.Now()
	group := s.Engines(p.Model, p.Adapter)
	for _, u := range group.In(r.domain) {
		if !eligible(u, p.Avoid) {
			continue
		}
		c := r.estimate(now, u, p, 0)
		rate := r.rate(u.Load())
		f.TokensPerSecond += rate
		if !ok || c.Predicted < f.TimeToFirstToken {
			f.TimeToFirstToken, ok = c.Predicted, true
			f.Wait = clock.Millis(int64(r.ahead(&c)) * 1000 / rate)
		}
	}
	return f, ok
}

func (r *Router) engine(now clock.Millis, engines []*upstream.Upstream, longs int, p *Prompt) Decision {
	preferred := engines
	if p.Class == ClassLong {
		preferred = engines[:longs]
	}
	list := make([]Candidate, 0, maxCandidates)
	if u := r.rendezvous(preferred, p); u != nil {
		list = append(list, r.candidate(now, u, p))
	}
	prefix := len(list)
	list = r.sample(now, list, preferred, 2, p)
	if p.Class != ClassLong {
		list = r.sample(now, list, engines[longs:], 1, p)
	}
	if len(list) == 0 {
		list = r.sample(now, list, engines, 2, p)
	}
	if len(list) == 0 {
		return Decision{}
	}
	best := 0
	for i := range list {
		if r.score(&list[i], p) < r.score(&list[best], p) {
			best = i
		}
	}
	reason := ReasonShortestWait
	switch {
	case len(list) == 1:
		reason = ReasonOnly
	case prefix > 0 && r.score(&list[0], p) <= r.score(&list[best], p)*prefixFactorPercent/100+prefixSlack:
		best, reason = 0, ReasonPrefix
	case p.Class == ClassLong && longs > 0:
		reason = ReasonLongSet
	}
	list[0], list[best] = list[best], list[0]
	list = r.sample(now, list, engines, maxCandidates-len(list), p)
	rest := list[1:]
	slices.SortFunc(rest, func(a, b Candidate) int { return int(a.Predicted - b.Predicted) })
	return Decision{Upstream: list[0].Upstream, Predicted: list[0].Predicted, Reason: reason, Candidates: list}
}

// rendezvous returns the eligible engine that the prompt's first block hashes to.
func (r *Router) rendezvous(engines []*upstream.Upstream, p *Prompt) *upstream.Upstream {
	if len(p.Blocks) == 0 {
		return nil
	}
	var best *upstream.Upstream
	var weight uint64
	for _, u := range engines {
		if w := upstream.Mix(p.Blocks[0], u.Hash); (best == nil || w > weight) && eligible(u, p.Avoid) {
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

func next(list []Candidate, engines []*upstream.Upstream, start int, avoid []poplarwinch.UpstreamID) *upstream.Upstream {
	for i := range engines {
		u := engines[(start+i)%len(engines)]
		if eligible(u, avoid) && !slices.ContainsFunc(list, func(c Candidate) bool { return c.Upstream == u }) {
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
	c.Predicted = clock.Millis(int64(r.ahead(&c)+p.Tokens-cached)*1000/rate + c.Running*r.interference/1000)
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

// ahead returns the prefill work that runs before a prompt.
func (r *Router) ahead(c *Candidate) poplarwinch.Tokens {
	return c.Waiting + c.LowerWaiting*poplarwinch.Tokens(r.lowerFactor.Load())/lowerFactorUnit
}

// Observe records the time to first token of a prompt that ran on the candidate. It teaches the router how much
// work of lower priority delays a prompt, which depends on whether the engines honour priorities.
func (r *Router) Observe(c *Candidate, p *Prompt, elapsed clock.Millis) {
	if c.LowerWaiting < minLowerSample {
		return
	}
	rate := r.rate(c.Upstream.Load())
	base := clock.Millis(int64(c.Waiting+p.Tokens-c.Cached)*1000/rate + c.Running*r.interference/1000)
	sample := int64(elapsed-base) * rate / 1000 * lowerFactorUnit / int64(c.LowerWaiting)
	old := r.lowerFactor.Load()
	// A concurrent sample may be lost, which an average tolerates.
	r.lowerFactor.CompareAndSwap(old, old+(min(max(sample, 0), lowerFactorUnit)-old)/16)
}

// score is the prediction by which candidates are compared.
func (r *Router) score(c *Candidate, p *Prompt) clock.Millis {
	if p.Class == ClassShort && c.LongPrefills > 0 {
		return c.Predicted + longPenalty
	}
	return c.Predicted
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

func (r *Router) check(u *upstream.Upstream, avoid []poplarwinch.UpstreamID) {
	if slices.Contains(avoid, u.ID) {
		r.violated("avoided-upstream-not-selected", fmt.Sprintf("%s was selected", u.ID))
	}
}

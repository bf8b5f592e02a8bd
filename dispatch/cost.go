package dispatch

import (
	"net/http"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// CostUses says for which decisions the learned cost of requests is used. Costs are learned and logged in any case.
type CostUses struct {
	// ServerChoice selects plain servers by least predicted remaining work instead of fewest requests.
	ServerChoice bool
	// FirstEvent corrects the predicted time to the first event of engines.
	FirstEvent bool
	// RetryAfter derives the Retry-After of rejections from the predicted time until capacity is free.
	RetryAfter bool
}

// WithCost sets the estimator of costs and its uses. Without it, nothing is learned.
func WithCost(e *cost.Estimator, uses CostUses) Option {
	return func(d *Dispatcher) { d.cost, d.costUses = e, uses }
}

// costRequest describes the request to the estimator.
func (x *run) costRequest() *cost.Request {
	size := int64(len(x.Body))
	if x.PromptTokens > 0 {
		size = int64(x.PromptTokens)
	}
	return &cost.Request{Service: x.Service, Route: x.Route.Name, Customer: x.Customer, Model: x.Model, Method: x.Method, Size: size}
}

// planServer chooses a server of a plain service for a request that still waits for timeLeft of fullTime.
func (x *run) planServer(candidates []fleet.Candidate, timeLeft, fullTime clock.Millis) (assignment.Plan, assignment.Verdict) {
	if x.d.cost == nil || !x.d.costUses.ServerChoice || x.atPool() {
		return assignment.Server(candidates, x.d.domain, timeLeft, fullTime)
	}
	return assignment.LeastWork(candidates, x.d.domain, timeLeft, fullTime, x.learnedWork())
}

// learnedWork returns what was learned about the request and the servers of its service.
func (x *run) learnedWork() *assignment.LearnedWork {
	e := x.d.cost
	usual := e.Usual(x.Service).Mean
	return &assignment.LearnedWork{
		Request: e.Predict(x.costRequest()).Mean, Usual: usual,
		Remaining: func(s *fleet.Candidate) (float64, int) { return e.Remaining(s.ID, usual) },
		Pace:      func(s *fleet.Candidate) float64 { return e.Pace(s.ID, s.Boot) },
		Extra:     func(s *fleet.Candidate, assumed float64) float64 { return e.Extra(s.Domain, assumed) },
	}
}

// beginCost records the remaining work of an attempt at a plain server.
func (x *run) beginCost(selected *selection) {
	if x.d.cost == nil || !x.isPlain() {
		return
	}
	s := &selected.first
	selected.cost = x.d.cost.Begin(x.costRequest(), cost.Server{ID: s.ID, Boot: s.Boot, Domain: s.Domain, Cold: x.d.fleet.IsCold(s.ID)})
}

// isPlain reports whether the request goes to a plain service and its response has no events.
func (x *run) isPlain() bool { return !x.atPool() && x.Route.Kind != route.KindStreaming }

// atPool reports whether the service is a pool of engines. Its requests without a prompt are neither predicted nor learned, since what is
// known of the service is the cost of prompts.
func (x *run) atPool() bool {
	t := x.d.active()
	if t == nil {
		return false
	}
	_, ok := t.Pools[x.Service]
	return ok
}

// endCost ends the work of an attempt at a plain server, unless learnPlain has done so.
func (s *selection) endCost() {
	if s.cost != nil {
		s.cost.End()
	}
}

// predictedMillis returns the predicted time to the answer of a plain service, or to the first event.
func (s *selection) predictedMillis() clock.Millis {
	switch {
	case s.plan.Predicted > 0:
		return s.plan.Predicted
	case s.cost != nil:
		predicted := s.cost.Predicted()
		return clock.Millis(predicted.Mean)
	}
	return s.plan.FirstEvent
}

// learnPlain learns from the answer of a plain server. Errors are no samples, since they may come back quickly.
func (x *run) learnPlain(selected *selection, status int) {
	if selected.cost == nil || status >= http.StatusBadRequest {
		return
	}
	x.predicted, x.actual = selected.predictedMillis(), x.d.clock.Now()-selected.sentAt
	selected.cost.Complete(selected.sentAt)
}

// learnEngine learns from a complete stream of an engine. Resumed streams are no samples, since their prompts and answers differ.
func (x *run) learnEngine(selected *selection) {
	if selected.firstEventAt == 0 || selected.plan.FirstEvent == 0 {
		return
	}
	x.predicted, x.actual = selected.plan.FirstEvent, selected.firstEventAt-selected.sentAt
	if x.d.cost == nil || x.sends > 1 || x.LastEventID != "" {
		return
	}
	factor := x.firstEventFactor
	if factor == 0 {
		factor = 1
	}
	x.d.cost.LearnEngine(x.costRequest(), cost.EngineOutcome{
		FirstEvent: x.actual, PredictedFirstEvent: clock.Millis(float64(selected.plan.FirstEvent) / factor),
		AnswerTokens: poplarwinch.Tokens(selected.events), MaxAnswerTokens: x.MaxAnswerTokens, Total: x.d.clock.Now() - selected.sentAt,
	})
}

// correctFirstEvent returns the learned correction of the predicted time to the first event; zero means none. It is looked up once for a
// request, since a waiting one is decided on many times.
func (x *run) correctFirstEvent() float64 {
	if x.firstEventFactor == 0 && x.d.cost != nil && x.d.costUses.FirstEvent {
		x.firstEventFactor = x.d.cost.PredictEngine(x.costRequest()).FirstEventFactor
	}
	return x.firstEventFactor
}

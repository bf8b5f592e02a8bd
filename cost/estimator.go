// Package cost learns from completed requests what requests and servers cost, and predicts the cost of further ones. It has no I/O and
// takes the time from a clock.Clock.
package cost

import (
	"math"
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// maxKeys bounds the keys of requests. With 88 bytes for each, this is most of the memory.
	maxKeys = 16_384
	// maxServers bounds the servers whose pace is known.
	maxServers = 4096
	// minSamples is the weight of samples of a service below which nothing is predicted for it: three that are not old.
	minSamples = 2.5
	// meanFactorLimit bounds the ratio of mean to median, so that a mix of very different requests doesn't predict an extreme mean.
	meanFactorLimit = 2
)

// Estimator predicts the cost of requests and the pace of servers. It is safe for concurrent use.
type Estimator struct {
	clock  *clock.Clock
	domain poplarwinch.FailureDomain

	mutex   sync.Mutex
	keys    *recent[uint64, sample]
	servers *recent[poplarwinch.UpstreamID, pace]
	// ways has the extra time of requests to the servers of each failure domain.
	ways map[poplarwinch.FailureDomain]*way
	// running has this instance's requests at each server.
	running map[poplarwinch.UpstreamID][]*Running
	freeze  freezeDetector
}

// sample is what is known of the requests of one key. A key of a plain service uses only time.
type sample struct {
	at clock.Millis
	// time is the logarithm of the service time, or of the total time at an engine.
	time statistic
	// firstEvent is the logarithm of the ratio of the actual to the predicted time to the first event.
	firstEvent statistic
	// answer is the logarithm of the share of the announced answer tokens that were generated.
	answer statistic
}

// New returns an estimator for an instance of the failure domain that has learned nothing.
func New(c *clock.Clock, domain poplarwinch.FailureDomain) *Estimator {
	return &Estimator{
		clock: c, domain: domain, keys: newRecent[uint64, sample](maxKeys), servers: newRecent[poplarwinch.UpstreamID, pace](maxServers),
		ways: map[poplarwinch.FailureDomain]*way{}, running: map[poplarwinch.UpstreamID][]*Running{},
	}
}

// Prediction is the predicted time of a request in milliseconds. It is zero if nothing was learned.
type Prediction struct {
	Median float64
	Mean   float64
	// High is the 90th percentile.
	High float64
}

// Known reports whether anything was learned.
func (p *Prediction) Known() bool { return p.Median > 0 }

// EnginePrediction is what was learned about requests to engines.
type EnginePrediction struct {
	// FirstEventFactor is the ratio of the actual to the predicted time to the first event; 1 if nothing was learned.
	FirstEventFactor float64
	// AnswerShare is the share of the announced answer tokens that a request generates at the 90th percentile; 1 if nothing was learned.
	AnswerShare float64
	// Total is the time that a request occupies its engine.
	Total Prediction
}

// Predict returns the predicted time of a request at a server of usual pace.
func (e *Estimator) Predict(r *Request) Prediction {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.predict(r.keys())
}

// Usual returns the predicted time of any request of the service.
func (e *Estimator) Usual(service poplarwinch.ServiceName) Prediction {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.usual(service)
}

func (e *Estimator) usual(service poplarwinch.ServiceName) Prediction {
	s := e.keys.get(serviceKey(service))
	if s == nil || s.time.agedWeight(e.clock.Now()-s.at) < minSamples {
		return Prediction{}
	}
	return s.time.normal().prediction()
}

// predict is Predict for a caller that holds the lock.
func (e *Estimator) predict(keys keyChain) Prediction {
	n, ok := e.blend(keys, func(s *sample) *statistic { return &s.time })
	if !ok {
		return Prediction{}
	}
	return n.prediction()
}

// PredictEngine returns what was learned about requests like r at engines.
func (e *Estimator) PredictEngine(r *Request) EnginePrediction {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	keys := r.keys()
	p := EnginePrediction{FirstEventFactor: 1, AnswerShare: 1, Total: e.predict(keys)}
	if n, ok := e.blend(keys, func(s *sample) *statistic { return &s.firstEvent }); ok {
		p.FirstEventFactor = clamp(math.Exp(n.mean), 1/firstEventFactorLimit, firstEventFactorLimit)
	}
	if n, ok := e.blend(keys, func(s *sample) *statistic { return &s.answer }); ok {
		p.AnswerShare = min(math.Exp(n.mean+highDeviation*n.deviation()), 1)
	}
	return p
}

// blend estimates a statistic of a request from its keys, from the general one to the most specific one: each key with few samples takes
// the rest of its weight from the more general one. It reports false if the service has too few samples.
func (e *Estimator) blend(keys keyChain, of func(*sample) *statistic) (normal, bool) {
	now := e.clock.Now()
	estimate := normal{}
	for level, key := range keys {
		s := e.keys.get(key)
		if s == nil {
			return estimate, level > 0
		}
		weight := of(s).agedWeight(now - s.at)
		if level == 0 {
			if weight < minSamples {
				return normal{}, false
			}
			estimate = of(s).normal()
			continue
		}
		estimate = estimate.refine(of(s), weight)
	}
	return estimate, true
}

// learn adds a value to a statistic of all keys of a request.
func (e *Estimator) learn(keys keyChain, value float64, of func(*sample) *statistic) {
	now := e.clock.Now()
	for _, key := range keys {
		s := e.keys.add(key)
		s.age(now)
		of(s).add(value)
	}
}

// age reduces the weights of all statistics by the time since the last sample.
func (s *sample) age(now clock.Millis) {
	factor := decay(now-s.at, sampleHalfLife)
	s.at = now
	s.time.weight *= factor
	s.firstEvent.weight *= factor
	s.answer.weight *= factor
}

// LearnEngine records a completed request of an engine.
func (e *Estimator) LearnEngine(r *Request, o EngineOutcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.freeze.spans(e.clock.Now()-o.Total, e.clock.Now()) {
		return
	}
	keys := r.keys()
	e.learn(keys, math.Log(max(float64(o.Total), 1)), func(s *sample) *statistic { return &s.time })
	if o.FirstEvent > 0 && o.PredictedFirstEvent > 0 {
		ratio := float64(o.FirstEvent) / float64(o.PredictedFirstEvent)
		e.learn(keys, math.Log(ratio), func(s *sample) *statistic { return &s.firstEvent })
	}
	if o.AnswerTokens > 0 && o.MaxAnswerTokens > 0 {
		share := float64(o.AnswerTokens) / float64(o.MaxAnswerTokens)
		e.learn(keys, math.Log(share), func(s *sample) *statistic { return &s.answer })
	}
}

// EngineOutcome is the actual cost of a completed request of an engine. Values that are not known are zero.
type EngineOutcome struct {
	// FirstEvent is the time from the decision to the first event, and PredictedFirstEvent its prediction without correction.
	FirstEvent          clock.Millis
	PredictedFirstEvent clock.Millis
	AnswerTokens        poplarwinch.Tokens
	MaxAnswerTokens     poplarwinch.Tokens
	// Total is the time from the decision to the end.
	Total clock.Millis
}

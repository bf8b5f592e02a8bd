package assignment

import (
	"math"
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

const (
	// ReasonLeastWork means that the server is predicted to answer first.
	ReasonLeastWork Reason = "least-work"
	// similarEndFraction is the fraction of the request's time by which predicted ends may differ and still count as equal. It is about
	// the error of a server's pace after a few samples.
	similarEndFraction = 0.1
	// similarEndRequests is the same as a number of requests on the server, and similarEndLoad as a fraction of the requests there: the
	// counts are up to 200 ms old for servers outside the own cell, which get and end many in that time.
	similarEndRequests = 0.3
	similarEndLoad     = 0.6
)

// LearnedWork is what was learned about a request to a plain service and about the servers. Times are in milliseconds.
type LearnedWork struct {
	// Request is the predicted time of the request, and Usual that of any request of the service; both are zero if nothing was learned.
	Request float64
	Usual   float64
	// Remaining returns the predicted time that this instance's requests at a server still need, and their number.
	Remaining func(s *fleet.Candidate) (millis float64, requests int)
	// Pace returns the factor for times at a server.
	Pace func(s *fleet.Candidate) float64
	// Extra returns the extra time of requests to a server in another failure domain; assumed is used as long as nothing was measured.
	Extra func(s *fleet.Candidate, assumed float64) float64
	// Random returns a number from 0 to n-1; it defaults to rand.IntN.
	Random func(n int) int
}

// LeastWork returns the plan for a request to a plain service: one of the servers with about the earliest predicted end, at random, so
// that instances which decide at the same time don't choose the same one. If nothing was learned it is one of those with the fewest
// requests. Otherwise it is like Server.
func LeastWork(servers []fleet.Candidate, domain poplarwinch.FailureDomain, timeLeft, fullTime clock.Millis, w *LearnedWork) (Plan, Verdict) {
	usable, verdict := usableServers(servers, timeLeft, fullTime)
	if verdict != VerdictRun {
		return Plan{}, verdict
	}
	if w.Request <= 0 || w.Usual <= 0 {
		weights := make([]float64, len(usable))
		for i := range usable {
			weights[i] = float64(weightedRequests(&usable[i], domain))
		}
		return Plan{First: usable[w.lowest(weights, func(*fleet.Candidate) float64 { return 0 }, usable)].ID, Reason: ReasonFewest}, VerdictRun
	}
	ends := make([]float64, len(usable))
	for i := range usable {
		ends[i] = w.end(&usable[i], domain)
	}
	best := w.lowest(ends, func(s *fleet.Candidate) float64 { return w.similar(s, domain) }, usable)
	return Plan{First: usable[best].ID, Predicted: ceilMillis(ends[best]), Reason: ReasonLeastWork}, VerdictRun
}

// usableServers returns the servers that may get a request now, or the verdict if there are none.
func usableServers(servers []fleet.Candidate, timeLeft, fullTime clock.Millis) ([]fleet.Candidate, Verdict) {
	if servers = healthy(servers); len(servers) == 0 {
		return nil, VerdictResting
	}
	usable := withinLimit(servers)
	if len(usable) == 0 {
		return nil, verdictAtLimit(servers, timeLeft, fullTime)
	}
	return usable, VerdictRun
}

// end predicts the time until the server has answered the request.
func (w *LearnedWork) end(s *fleet.Candidate, domain poplarwinch.FailureDomain) float64 {
	remaining, own := w.Remaining(s)
	peers := max(s.Load.Requests-own, 0)
	work := remaining + float64(peers)*w.Usual
	perRequest := w.Usual / float64(max(s.Slots, 1))
	millis := w.Pace(s) * (work/float64(max(s.Slots, 1)) + w.Request)
	if s.Domain != domain {
		millis += w.Extra(s, crossDomainPenaltyRequests*perRequest)
	}
	if s.RestsForPeers {
		millis += restPenaltyRequests * w.Usual
	}
	return millis
}

// similar returns the time by which the end at another server may be later than at the best one s and still count as equal.
func (w *LearnedWork) similar(s *fleet.Candidate, domain poplarwinch.FailureDomain) float64 {
	requests := similarEndRequests
	if s.Domain != domain || s.OtherCell {
		requests += similarEndLoad * float64(s.Load.Requests)
	}
	return w.Pace(s) * (similarEndFraction*min(w.Request, w.Usual) + requests*w.Usual/float64(max(s.Slots, 1)))
}

// lowest returns the index of one of the lowest values: at random among those that exceed the lowest one by at most the tolerance of its
// server.
func (w *LearnedWork) lowest(values []float64, tolerance func(s *fleet.Candidate) float64, servers []fleet.Candidate) int {
	best := 0
	for i, v := range values {
		if v < values[best] {
			best = i
		}
	}
	limit := math.Nextafter(values[best]+tolerance(&servers[best]), math.Inf(1))
	random := w.Random
	if random == nil {
		random = rand.IntN
	}
	chosen, count := best, 0
	for i, v := range values {
		if v > limit {
			continue
		}
		if count++; random(count) == 0 {
			chosen = i
		}
	}
	return chosen
}

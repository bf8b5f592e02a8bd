package cost

import (
	"math"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// paceHalfLife is the age at which a sample of a server counts half. It is shorter than that of requests because a server's pace
	// changes with its neighbours on the machine.
	paceHalfLife = 3 * clock.Minute
	// paceWeight is the number of samples for which the usual pace counts. Samples vary by half, so that fewer would make servers of
	// equal pace differ by more than 15 %.
	paceWeight = 3
	// maxPaceWeight bounds the weight of the samples, so that a change shows after about as many.
	maxPaceWeight = 24
	// paceOutlier is the limit for the logarithm of one sample.
	paceOutlier = 1.1
	// newServerTime is the time for which a process is new: its first requests are slower while it warms up.
	newServerTime = 5 * clock.Second
	// maxWays bounds the failure domains whose way is known.
	maxWays = 64
	// wayWeight is the number of samples for which the assumed extra time counts.
	wayWeight = 10
	// wayOutlier is the limit for one sample of extra time, as a multiple of the predicted time.
	wayOutlier = 1.5
)

// Server is a server as the estimator knows it.
type Server struct {
	ID poplarwinch.UpstreamID
	// Boot distinguishes processes that run under the same id one after the other.
	Boot   int64
	Domain poplarwinch.FailureDomain
	// Cold says that the server is known to be slow for a while after its start.
	Cold bool
}

// pace is the speed of a server process relative to the others of its service.
type pace struct {
	boot int64
	// seenAt is the time of the first request to the process.
	seenAt clock.Millis
	at     clock.Millis
	// weight and mean are those of the logarithm of the ratio of actual to predicted times.
	weight float32
	mean   float32
}

// of makes p describe the process; what was learned of an earlier one is dropped.
func (p *pace) of(boot int64, now clock.Millis) {
	if p.seenAt == 0 || p.boot != boot {
		*p = pace{boot: boot, seenAt: now, at: now}
	}
}

func (p *pace) isNew(now clock.Millis) bool { return now-p.seenAt < newServerTime }

func (p *pace) add(ratio float64, now clock.Millis) {
	p.weight = min(p.weight*decay(now-p.at, paceHalfLife)+1, maxPaceWeight)
	p.at = now
	// The estimate itself is limited to the same range, so a sample may differ from it by twice as much at most.
	p.mean += (float32(clamp(math.Log(ratio), -paceOutlier, paceOutlier)) - p.mean) / p.weight
}

// factor returns the factor for times at the server.
func (p *pace) factor(now clock.Millis) float64 {
	weight := float64(p.weight * decay(now-p.at, paceHalfLife))
	return math.Exp(float64(p.mean) * weight / (weight + paceWeight))
}

// Pace returns the factor for times at the server relative to the others of its service; 1 if nothing was learned.
func (e *Estimator) Pace(id poplarwinch.UpstreamID, boot int64) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	p := e.servers.get(id)
	if p == nil || p.boot != boot {
		return 1
	}
	return p.factor(e.clock.Now())
}

// way is the extra time of requests to the servers of a failure domain, in milliseconds.
type way struct {
	at     clock.Millis
	weight float32
	mean   float32
}

func (w *way) add(extra float64, now clock.Millis) {
	w.weight = min(w.weight*decay(now-w.at, sampleHalfLife)+1, maxWeight)
	w.at = now
	w.mean += (float32(extra) - w.mean) / w.weight
}

// Extra returns the time by which requests to another failure domain take longer than those to the own one. assumed is the value that is
// used as long as few were measured.
func (e *Estimator) Extra(other poplarwinch.FailureDomain, assumed float64) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.extra(other, assumed)
}

func (e *Estimator) extra(other poplarwinch.FailureDomain, assumed float64) float64 {
	near, far := e.ways[e.domain], e.ways[other]
	if e.domain == other {
		return 0
	}
	if near == nil || far == nil {
		return assumed
	}
	now := e.clock.Now()
	weight := min(near.weight*decay(now-near.at, sampleHalfLife), far.weight*decay(now-far.at, sampleHalfLife))
	measured := max(float64(far.mean-near.mean), 0)
	return (float64(weight)*measured + wayWeight*assumed) / (float64(weight) + wayWeight)
}

// learnServer records the actual time of a request at a server whose predicted time was known. A cold or new server is slow for a short
// time only, which says nothing about its pace.
func (e *Estimator) learnServer(s *Server, predicted Prediction, actual float64, now clock.Millis) {
	p := e.servers.add(s.ID)
	p.of(s.Boot, now)
	if s.Cold || p.isNew(now) {
		return
	}
	w := e.ways[s.Domain]
	if w == nil {
		if len(e.ways) >= maxWays {
			clear(e.ways)
		}
		w = &way{}
		e.ways[s.Domain] = w
	}
	w.add(clamp(actual-predicted.Mean, -wayOutlier*predicted.Mean, wayOutlier*predicted.Mean), now)
	p.add(max(actual-e.extra(s.Domain, 0), 1)/max(predicted.Median, 1), now)
}

package cost

import (
	"math"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// overdueShare is the share of its predicted time that a request which takes longer than predicted still needs. Service times have long
// tails.
const overdueShare = 0.25

// Running is a request at a server of a plain service.
type Running struct {
	estimator *Estimator
	keys      keyChain
	server    Server
	startedAt clock.Millis
	predicted Prediction
	ended     bool
}

// Begin records that a request is sent to a server, until the result's End or Complete.
func (e *Estimator) Begin(r *Request, s Server) *Running {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	keys := r.keys()
	n := &Running{estimator: e, keys: keys, server: s, startedAt: e.clock.Now(), predicted: e.predict(keys)}
	e.running[s.ID] = append(e.running[s.ID], n)
	return n
}

// Predicted returns the time that was predicted at the start.
func (n *Running) Predicted() Prediction { return n.predicted }

// End ends a request that the server did not complete successfully. It is no sample, since an error may come back quickly.
func (n *Running) End() {
	n.estimator.mutex.Lock()
	defer n.estimator.mutex.Unlock()
	n.remove()
}

// remove takes the request from the work of its server and reports whether it was part of it.
func (n *Running) remove() bool {
	e := n.estimator
	if n.ended {
		return false
	}
	n.ended = true
	list := slices.DeleteFunc(e.running[n.server.ID], func(o *Running) bool { return o == n })
	if e.running[n.server.ID] = list; len(list) == 0 {
		delete(e.running, n.server.ID)
	}
	return true
}

// Complete ends a request that was sent at a time and that the server has completed successfully, and learns from it.
func (n *Running) Complete(sentAt clock.Millis) {
	e := n.estimator
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	if !n.remove() || e.freeze.spans(sentAt, now) {
		return
	}
	actual := float64(now - sentAt)
	if n.predicted.Known() {
		e.learnServer(&n.server, n.predicted, actual, now)
	}
	if !n.server.Cold {
		e.learn(n.keys, math.Log(max(actual, 1)), func(s *sample) *statistic { return &s.time })
	}
}

// Remaining returns the predicted time that this instance's requests at a server still need, and their number. usual is the time of
// requests for which nothing was predicted.
func (e *Estimator) Remaining(id poplarwinch.UpstreamID, usual float64) (millis float64, requests int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	for _, n := range e.running[id] {
		predicted := n.predicted.Mean
		if !n.predicted.Known() {
			predicted = usual
		}
		millis += max(predicted-float64(now-n.startedAt), overdueShare*predicted)
	}
	return millis, len(e.running[id])
}

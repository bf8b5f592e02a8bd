package fleet

import "github.com/poplarwinch/poplarwinch/clock"

const (
	// newResultWeight is the weight of the newest result in the moving average of the failure rate.
	newResultWeight = 0.25
	// avoidFailureRate is the failure rate above which a server is avoided for trialInterval after each failure.
	avoidFailureRate = 0.3
	// peerUnreachableTimeout is the time for which a peer's report that a server is unreachable counts.
	peerUnreachableTimeout clock.Millis = 1500
	// trialInterval is the time after a failure until such a server is tried again.
	trialInterval clock.Millis = 1500
	// failureRetention is the time since the last result after which the failure rate is ignored.
	failureRetention = 10 * clock.Second
)

// health is the health of a server as seen by this instance's requests and reported by its peers.
type health struct {
	failureRate  float64
	lastResultAt clock.Millis
	// unreachable says that this instance could not connect to the server; peers report the same until
	// peersUnreachableUntil.
	unreachable           bool
	peersUnreachableUntil clock.Millis
	trialAt               clock.Millis
	// aliveAt is the latest time at which the server accepted a connection or completed an answer; zero if unknown.
	aliveAt clock.Millis
	// crashedAt is the time at which a crash of this start was recorded; zero if none was.
	crashedAt clock.Millis
}

// succeeded records a complete answer.
func (h *health) succeeded(now clock.Millis) {
	h.failureRate *= 1 - newResultWeight
	h.lastResultAt, h.aliveAt, h.unreachable, h.peersUnreachableUntil = now, now, false, 0
}

// failed records an answer that failed or broke off.
func (h *health) failed(now clock.Millis) {
	h.failureRate = h.failureRate*(1-newResultWeight) + newResultWeight
	h.lastResultAt, h.trialAt = now, now+trialInterval
}

// avoided reports whether the server should get no requests now.
func (h *health) avoided(now clock.Millis) bool {
	if h.unreachable || now < h.peersUnreachableUntil {
		return true
	}
	return h.failureRate > avoidFailureRate && now-h.lastResultAt < failureRetention && now < h.trialAt
}

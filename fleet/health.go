package fleet

import "github.com/poplarwinch/poplarwinch/clock"

const (
	// failureWeight is the share of the newest result in the failure rate.
	failureWeight = 0.25
	// suspiciousRate is the failure rate above which a server gets work only now and then.
	suspiciousRate = 0.3
	// peerDown is the time for which a peer's word that a server can't be reached counts.
	peerDown clock.Millis = 1500
	// trialPause is the time between two requests to a suspicious server.
	trialPause clock.Millis = 1500
	// forgetAfter is the time after which old failures no longer count.
	forgetAfter = 10 * clock.Second
)

// health is what this instance learned of a server from its own requests.
type health struct {
	rate      float64
	changedAt clock.Millis
	// down says that this instance could not reach the server; peers say so until peersDownUntil.
	down           bool
	peersDownUntil clock.Millis
	trialAt        clock.Millis
}

// succeeded records a complete answer.
func (h *health) succeeded(now clock.Millis) {
	h.rate *= 1 - failureWeight
	h.changedAt, h.down, h.peersDownUntil = now, false, 0
}

// failed records an answer that failed or broke off.
func (h *health) failed(now clock.Millis) {
	h.rate = h.rate*(1-failureWeight) + failureWeight
	h.changedAt, h.trialAt = now, now+trialPause
}

// avoided reports whether the server should get no work now.
func (h *health) avoided(now clock.Millis) bool {
	if h.down || now < h.peersDownUntil {
		return true
	}
	return h.rate > suspiciousRate && now-h.changedAt < forgetAfter && now < h.trialAt
}

package gossip

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// waitingCount is the number of the sender's requests that are queued for a server of the service, by priority class without the empty
// classes at the end; see fleet.WaitingCount.
type waitingCount struct {
	_       struct{} `cbor:",toarray"`
	Service poplarwinch.ServiceName
	Counts  []int
}

func encodeWaiting(list []fleet.WaitingCount) []waitingCount {
	var encoded []waitingCount
	for _, w := range list {
		last := len(w.Counts)
		for last > 0 && w.Counts[last-1] == 0 {
			last--
		}
		encoded = append(encoded, waitingCount{Service: w.Service, Counts: w.Counts[:last]})
	}
	return encoded
}

// decodeWaiting ignores negative counts and classes that this version doesn't know.
func decodeWaiting(list []waitingCount) []fleet.WaitingCount {
	var decoded []fleet.WaitingCount
	for _, w := range list {
		c := fleet.WaitingCount{Service: w.Service}
		for class, n := range w.Counts {
			if class < len(c.Counts) {
				c.Counts[class] = max(n, 0)
			}
		}
		decoded = append(decoded, c)
	}
	return decoded
}

// competingWaiting returns the waiting requests of a peer that compete with those of this instance: by class if the peer is in the same
// cell, which hears of decisions in time to leave capacity to them, and otherwise as one number.
func competingWaiting(list []waitingCount, near bool) []fleet.WaitingCount {
	if near {
		return decodeWaiting(list)
	}
	return fleet.WithoutClasses(decodeWaiting(list))
}

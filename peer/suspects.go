package peer

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

// suspectHashLimit is the number of peers whose suspect hashes are kept. Dropping hashes only causes
// suspects to be sent again.
const suspectHashLimit = 1024

// currentSuspects returns the current suspects and a hash of them that does not depend on their order.
func (e *Endpoint) currentSuspects() (list []wireSuspect, hash uint64) {
	if e.Suspects == nil {
		return nil, 0
	}
	list = encodeSuspects(e.Suspects())
	slices.SortFunc(list, func(a, b wireSuspect) int { return bytes.Compare(a.Fingerprint, b.Fingerprint) })
	if len(list) == 0 {
		return nil, 0
	}
	data, err := e.codec.Marshal(list)
	if err != nil {
		return list, 0 // 0 is not the hash of a peer that has suspects
	}
	return list, xxhash.Sum64(data)
}

// suspectsToSend returns the suspects and their hash. The list is nil if the peer last reported the same hash.
func (e *Endpoint) suspectsToSend(peer poplarwinch.InstanceID) (list []wireSuspect, hash uint64) {
	list, hash = e.currentSuspects()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if known, ok := e.suspectHashes[peer]; ok && known == hash {
		return nil, hash
	}
	return list, hash
}

// setSuspectHash stores the hash of the suspects that a peer reported.
func (e *Endpoint) setSuspectHash(peer poplarwinch.InstanceID, hash uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.suspectHashes) >= suspectHashLimit {
		clear(e.suspectHashes)
	}
	e.suspectHashes[peer] = hash
}

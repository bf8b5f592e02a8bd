package peer

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

// peerHashLimit bounds the remembered hashes; forgetting them only repeats suspects.
const peerHashLimit = 1024

// currentSuspects returns the current suspects with a hash that is the same for the same set.
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
		return list, 0 // never equal to a peer's hash, so the suspects are sent
	}
	return list, xxhash.Sum64(data)
}

// suspectsUnlessKnown returns the suspects unless the peer last reported the same set.
func (e *Endpoint) suspectsUnlessKnown(peer poplarwinch.InstanceID) (list []wireSuspect, hash uint64) {
	list, hash = e.currentSuspects()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if known, ok := e.suspectHashes[peer]; ok && known == hash {
		return nil, hash
	}
	return list, hash
}

// rememberSuspects remembers the hash of the suspects that a peer holds.
func (e *Endpoint) rememberSuspects(peer poplarwinch.InstanceID, hash uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.suspectHashes) >= peerHashLimit {
		clear(e.suspectHashes)
	}
	e.suspectHashes[peer] = hash
}

package configuration

import (
	"cmp"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// maxPeerVersions is the maximum number of reported versions that wait for activation. It bounds their memory.
	maxPeerVersions = 16
	// maxPeerVersionAttempts is the number of attempts after which a version that no peer returns is dropped; it can
	// still be read from the table.
	maxPeerVersionAttempts = 60
)

// peerVersions holds the versions that peers reported until they are active.
type peerVersions struct {
	added       chan struct{}
	mutex       sync.Mutex
	attempts    map[peerVersion]int // attempts made so far for each version
	contactTime clock.Millis
}

func (p *peerVersions) recordContact(now clock.Millis) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.contactTime = now
}

func (p *peerVersions) lastContact() clock.Millis {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.contactTime
}

func (p *peerVersions) add(reported peerVersion) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, ok := p.attempts[reported]; !ok && len(p.attempts) < maxPeerVersions {
		p.attempts[reported] = 0
	}
}

// due returns the reported versions above the active one, the highest first, and counts an attempt for each. It drops
// versions that are active or have no attempts left.
func (p *peerVersions) due(active manifest.Version) []peerVersion {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pending := make([]peerVersion, 0, len(p.attempts))
	for v, n := range p.attempts {
		if v.version <= active || n >= maxPeerVersionAttempts {
			delete(p.attempts, v)
			continue
		}
		p.attempts[v] = n + 1
		pending = append(pending, v)
	}
	slices.SortFunc(pending, func(a, b peerVersion) int { return cmp.Compare(b.version, a.version) })
	return pending
}

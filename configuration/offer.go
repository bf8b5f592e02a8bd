package configuration

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// maxOffers bounds the memory for news from peers that is not settled yet.
	maxOffers = 16
	// maxOfferAttempts ends the attempts to fetch a version that no peer seems to have; the table stays a source.
	maxOfferAttempts = 60
)

// offer is a version that a peer has.
type offer struct {
	version manifest.Version
	digest  string
}

// offers holds news from peers until the version is active.
type offers struct {
	news    chan struct{}
	mutex   sync.Mutex
	pending map[offer]int // attempts so far
	heard   clock.Millis
}

// Offer reports the version that a peer has active. It does not block. Call it for each exchange with a peer, also
// when the version is unchanged: an instance that hears from no peer reads the table as often as the watchers do.
func (s *Store) Offer(_ context.Context, version manifest.Version, digest string) {
	s.offers.hear(s.clock.Now())
	if current := s.active.Load(); current != nil && version <= current.record.Version {
		s.compare(current, Record{Version: version, Digest: digest})
		return
	}
	if version == 0 {
		return
	}
	s.offers.add(offer{version: version, digest: digest})
	signal(s.offers.news)
}

func (o *offers) hear(now clock.Millis) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.heard = now
}

func (o *offers) lastHeard() clock.Millis {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.heard
}

func (o *offers) add(one offer) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if _, ok := o.pending[one]; !ok && len(o.pending) < maxOffers {
		o.pending[one] = 0
	}
}

// open returns the offers above the active version, the highest first, and counts an attempt for each.
func (o *offers) open(active manifest.Version) []offer {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	list := make([]offer, 0, len(o.pending))
	for one, attempts := range o.pending {
		if one.version <= active || attempts >= maxOfferAttempts {
			delete(o.pending, one)
			continue
		}
		o.pending[one] = attempts + 1
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b offer) int { return cmp.Compare(b.version, a.version) })
	return list
}

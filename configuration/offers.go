package configuration

import (
	"cmp"
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

// offers holds news from peers until the version is active.
type offers struct {
	news    chan struct{}
	mutex   sync.Mutex
	pending map[offer]int // attempts so far
	heard   clock.Millis
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

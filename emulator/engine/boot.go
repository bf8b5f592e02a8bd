package engine

import (
	"fmt"
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// boot is the state of the engine from a start or restart until it stops. It is guarded by Engine.mutex.
type boot struct {
	id string
	// stopped is closed when the boot stops.
	stopped   chan struct{}
	isStopped bool

	sequences map[string]*sequence
	// usedIDs holds all stream ids ever seen, including those cancelled before their prompt arrived.
	usedIDs  map[string]struct{}
	waiting  []*sequence
	running  []*sequence
	arrivals int
	// prunedBefore is the time before which ended streams have been dropped.
	prunedBefore clock.Millis

	kvMemory     *kvMemory
	reservations map[string]*reservation
	exports      map[string]*export
	events       eventLog
	samples      []loadSample

	role          string
	models        []Model
	loading       []loading
	fencingNumber uint64
}

func newBoot(c *config, bootNumber int) *boot {
	b := &boot{
		id: fmt.Sprintf("%d-%016x", bootNumber, rand.Uint64()), stopped: make(chan struct{}),
		sequences: map[string]*sequence{}, usedIDs: map[string]struct{}{},
		reservations: map[string]*reservation{}, exports: map[string]*export{},
		role: c.role,
	}
	for _, m := range c.models {
		b.models = append(b.models, m.normalized())
	}
	b.events.changed = make(chan struct{})
	b.kvMemory = newKVMemory(c.kvCapacity, poplarwinch.Tokens(blockBytes/c.bytesPerToken))
	return b
}

// stop aborts all requests of the boot.
func (b *boot) stop() {
	if !b.isStopped {
		b.isStopped = true
		close(b.stopped)
	}
}

func (b *boot) model(name string) *Model {
	for i := range b.models {
		if b.models[i].Name == name {
			return &b.models[i]
		}
	}
	return nil
}

package engine

import (
	"fmt"
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// boot is the state of an engine from its start to its end; the engine's mutex guards it.
type boot struct {
	id   string
	down chan struct{}
	dead bool

	sequences map[string]*sequence
	// used holds all stream ids ever seen, also those cancelled before their prompt arrived.
	used    map[string]struct{}
	waiting []*sequence
	running []*sequence
	arrived int
	// forgotten is the time up to which ended streams were dropped.
	forgotten clock.Millis

	memory       *memory
	reservations map[string]*reservation
	exports      map[string]*export
	events       eventLog
	samples      []sample

	role    string
	models  []Model
	loading []loading
	fencing uint64
}

func newBoot(c *config, number int) *boot {
	b := &boot{
		id: fmt.Sprintf("%d-%016x", number, rand.Uint64()), down: make(chan struct{}),
		sequences: map[string]*sequence{}, used: map[string]struct{}{},
		reservations: map[string]*reservation{}, exports: map[string]*export{},
		role: c.role,
	}
	for _, m := range c.models {
		b.models = append(b.models, m.normalized())
	}
	b.events.changed = make(chan struct{})
	b.memory = newMemory(c.capacity, poplarwinch.Tokens(blockBytes/c.bytesPerToken))
	return b
}

// stop ends all requests of the boot.
func (b *boot) stop() {
	if !b.dead {
		b.dead = true
		close(b.down)
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

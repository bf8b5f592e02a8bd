package memory

import (
	"context"
	"errors"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/history"
	"github.com/poplarwinch/poplarwinch/table"
)

// clientTimeout is how long clients wait for the answer to a call.
const clientTimeout = clock.Second

var errInjected = errors.New("injected fault")

// Platform is an in-memory table and object store.
type Platform struct {
	clock        *clock.Clock
	start        clock.Millis
	effects      []Effect
	effectsUntil clock.Millis
	latency      clock.Millis
	outages      []Outage
	rows         *history.Store[table.Row]
	objects      *history.Store[[]byte]
	lateCalls    sync.WaitGroup

	mutex sync.Mutex
	calls int
	down  bool
}

// New returns an empty platform.
func New(opts ...Option) *Platform {
	p := &Platform{clock: clock.System(), latency: 2}
	for _, o := range opts {
		o(p)
	}
	p.start = p.clock.Now()
	p.rows = history.New[table.Row](p.clock)
	p.objects = history.New[[]byte](p.clock)
	return p
}

// Now returns the time since the start of the platform.
func (p *Platform) Now() clock.Millis { return p.clock.Now() - p.start }

// Wait waits until all late calls have taken effect.
func (p *Platform) Wait() { p.lateCalls.Wait() }

// Restore resets the rows and objects to the state that they had the given time ago.
func (p *Platform) Restore(age clock.Millis) {
	at := p.clock.Now() - age
	p.rows.Restore(at)
	p.objects.Restore(at)
}

// SetOutage starts an outage that lasts until it is ended.
func (p *Platform) SetOutage(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// Client returns a client for one instance. It calls checkpoint at the start and end of each call; checkpoint may block
// to pause the instance, or end the goroutine.
func (p *Platform) Client(checkpoint func()) *Client {
	return &Client{platform: p, checkpoint: checkpoint}
}

// nextEffect counts a call that starts now and returns its effect.
func (p *Platform) nextEffect() Effect {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n, now := p.calls, p.Now()
	p.calls++
	down := p.down
	for _, o := range p.outages {
		down = down || now >= o.From && now < o.To
	}
	if down {
		return Effect{Kind: []Kind{Dropped, Rejected}[n%2]}
	}
	if n < len(p.effects) && now < p.effectsUntil {
		return p.effects[n]
	}
	return Effect{Kind: OK}
}

// call runs apply as the effect of a call. It returns an error if the call is not answered. If rejected is set, the call
// has no effect; after other errors, apply may have run or may still run.
func (p *Platform) call(ctx context.Context, apply func()) (rejected bool, err error) {
	if ctx.Err() != nil {
		return true, ctx.Err()
	}
	e := p.nextEffect()
	// A request that has been sent takes effect even if its client gives up.
	_ = p.clock.Sleep(context.Background(), p.latency/2)
	switch e.Kind {
	case OK:
		apply()
		return false, p.clock.Sleep(ctx, p.latency-p.latency/2)
	case Rejected:
		return true, errInjected
	case LostReply:
		apply()
	case Late:
		p.lateCalls.Go(func() {
			// The effect does not depend on the client's context.
			_ = p.clock.Sleep(context.Background(), e.Late)
			apply()
		})
	}
	// The call ends without an answer, when ctx is done or after the timeout.
	_ = p.clock.Sleep(ctx, clientTimeout)
	return false, errInjected
}

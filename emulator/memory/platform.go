package memory

import (
	"context"
	"errors"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/history"
	"github.com/poplarwinch/poplarwinch/table"
)

// timeout is how long clients wait for an answer.
const timeout = clock.Second

var errFault = errors.New("injected fault")

// Platform holds rows and objects.
type Platform struct {
	clock   *clock.Clock
	start   clock.Millis
	effects []Effect
	quiet   clock.Millis
	latency clock.Millis
	outages []Outage
	rows    *history.Store[table.Row]
	objects *history.Store[[]byte]
	late    sync.WaitGroup

	mutex sync.Mutex
	calls int
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
func (p *Platform) Wait() { p.late.Wait() }

// Restore puts back the rows and objects of age before.
func (p *Platform) Restore(age clock.Millis) {
	at := p.clock.Now() - age
	p.rows.Restore(at)
	p.objects.Restore(at)
}

// Client returns the access of one instance. Pass is called at the start and end of each call; it may block to pause the
// instance, or end the goroutine.
func (p *Platform) Client(pass func()) *Client { return &Client{platform: p, pass: pass} }

// next returns the effect of the call that starts now.
func (p *Platform) next() Effect {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n, now := p.calls, p.Now()
	p.calls++
	for _, o := range p.outages {
		if now >= o.From && now < o.To {
			return Effect{Kind: []Kind{Dropped, Rejected}[n%2]}
		}
	}
	if n < len(p.effects) && now < p.quiet {
		return p.effects[n]
	}
	return Effect{Kind: OK}
}

// call runs apply as the effect of a call. It returns errFault if there is no answer; rejected says that the call
// certainly has no effect. After an error, apply may still run.
func (p *Platform) call(ctx context.Context, apply func()) (rejected bool, err error) {
	if ctx.Err() != nil {
		return true, ctx.Err()
	}
	e := p.next()
	// A request that is under way takes effect also if its client leaves.
	_ = p.clock.Sleep(context.Background(), p.latency/2)
	switch e.Kind {
	case OK:
		apply()
		return false, p.clock.Sleep(ctx, p.latency-p.latency/2)
	case Rejected:
		return true, errFault
	case LostReply:
		apply()
	case Late:
		p.late.Go(func() {
			// The effect does not depend on the client's context.
			_ = p.clock.Sleep(context.Background(), e.Late)
			apply()
		})
	}
	// The call ends without an answer, whether by the context or by the timeout.
	_ = p.clock.Sleep(ctx, timeout)
	return false, errFault
}

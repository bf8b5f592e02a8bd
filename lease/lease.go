// Package lease elects one holder among instances by a row of the table and numbers the holders with fencing tokens.
package lease

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

const (
	// duration is how long a lease lasts after its last renewal.
	duration = 10 * clock.Second
	// interval is the time between renewals, and between the reads of instances that wait for the lease.
	interval = 3 * clock.Second
	// retry is the time after which a renewal that failed is repeated.
	retry = 500 * clock.Millis(1)
	// skew is the assumed bound of the difference between the clocks of two machines.
	skew = 500 * clock.Millis(1)
	// settle is how long a new holder waits before it acts. Its write makes all later renewals of other instances fail, so
	// after this time no earlier lease is valid, even if a restore of the table brought back the row that it replaced.
	// Orders are sent only while more of the lease remains than their validity, so they have ended, too.
	settle = duration + skew
)

// Lease is one instance's view of a lease. Only Run changes it; Valid can be called at any time.
type Lease struct {
	key       string
	holder    poplarwinch.InstanceID
	clock     *clock.Clock
	wall      func() clock.Millis
	monotonic func() clock.Millis
	log       log.Interface
	get       func(ctx context.Context, key string) (table.Row, bool, error)
	put       func(ctx context.Context, row table.Row, condition table.Condition) error
	candidate func() bool
	attemptID func() string

	held atomic.Pointer[held]

	// The fields below belong to Run.
	observed    *observation
	outstanding map[string]written
	highest     uint64

	// ignoreMonotonic, ignoreWall and takeEarly break the mechanism; only tests of the tests set them.
	ignoreMonotonic, ignoreWall, takeEarly bool
}

// New returns a lease that is not held. WithKey, WithHolder and WithTable are required.
func New(opts ...Option) *Lease {
	start := time.Now()
	l := &Lease{
		clock: clock.System(), log: log.Log, candidate: func() bool { return true }, attemptID: rand.Text,
		monotonic:   func() clock.Millis { return clock.FromDuration(time.Since(start)) },
		outstanding: map[string]written{},
	}
	for _, o := range opts {
		o(l)
	}
	if l.wall == nil {
		l.wall = l.clock.Now
	}
	return l
}

// Valid reports whether this instance holds the lease for at least margin from now, by the wall clock and by the
// monotonic clock, and returns the fencing token.
func (l *Lease) Valid(margin clock.Millis) (token uint64, ok bool) {
	h := l.held.Load()
	if h == nil {
		return 0, false
	}
	wall, monotonic := l.wall(), l.monotonic()
	// The monotonic clock may stand still while a machine is suspended; the wall clock may be set back.
	ok = (l.ignoreWall || wall+margin < h.until.wall) && (l.ignoreMonotonic || monotonic+margin < h.until.monotonic) &&
		monotonic >= h.usable
	return h.token, ok
}

// Run acquires and renews the lease until ctx ends. The lease of an instance that stops ends by itself: a row that marks
// it as free could come back in a restore of the table while another instance holds the lease.
func (l *Lease) Run(ctx context.Context) error {
	// The spread keeps instances that start together from reading and taking over at the same moment.
	spread := clock.Millis(0)
	for _, b := range []byte(l.holder) {
		spread = (spread*31 + clock.Millis(b)) % clock.Second
	}
	for {
		wait := l.step(ctx)
		if l.held.Load() == nil {
			wait += spread
		}
		if err := l.clock.Sleep(ctx, wait); err != nil {
			l.drop("instance stops")
			return err
		}
	}
}

// step does one round and returns the time until the next one.
func (l *Lease) step(ctx context.Context) clock.Millis {
	if h := l.held.Load(); h != nil {
		if l.expired(h.until) {
			l.drop("not renewed in time")
			return 0
		}
		return l.renew(ctx, h)
	}
	if !l.candidate() {
		l.observed = nil
		return interval
	}
	return l.follow(ctx)
}

func (l *Lease) drop(reason string) {
	if h := l.held.Swap(nil); h != nil {
		l.observed = nil
		l.log.WithFields(log.Fields{"lease": l.key, "fencing-number": h.token, "reason": reason}).Info("lease lost")
	}
}

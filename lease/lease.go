// Package lease elects one holder among instances by means of a table row and gives each holder a fencing token.
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
	// leaseDuration is the time from the start of the last renewal to the expiry of the lease.
	leaseDuration = 10 * clock.Second
	// roundInterval is the time between renewals, and between reads by instances that wait for the lease.
	roundInterval = 3 * clock.Second
	// retryDelay is the time after which a failed write of the row is retried.
	retryDelay = 500 * clock.Millis(1)
	// maxClockSkew is the assumed maximum difference between the clocks of two machines.
	maxClockSkew = 500 * clock.Millis(1)
	// activationDelay is the time that a new holder waits before it acts. Its write makes all later renewals by other
	// instances fail, so after this time no earlier lease is valid, even if a restore of the table brought back the row
	// that it replaced. Orders are sent only while more of the lease remains than their validity, so they have expired
	// too.
	activationDelay = leaseDuration + maxClockSkew
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

	// The fields below are accessed only by Run.
	observed     *observation
	outstanding  map[string]pendingWrite
	highestToken uint64

	// ignoreMonotonic, ignoreWall and earlyTakeOver disable safeguards; only TestCheckerDetects sets them.
	ignoreMonotonic, ignoreWall, earlyTakeOver bool
}

// New returns a lease that is not held. WithKey, WithHolder and WithTable are required.
func New(opts ...Option) *Lease {
	start := time.Now()
	l := &Lease{
		clock: clock.System(), log: log.Log, candidate: func() bool { return true }, attemptID: rand.Text,
		monotonic:   func() clock.Millis { return clock.FromDuration(time.Since(start)) },
		outstanding: map[string]pendingWrite{},
	}
	for _, o := range opts {
		o(l)
	}
	if l.wall == nil {
		l.wall = l.clock.Now
	}
	return l
}

// Valid reports whether this instance holds the lease for at least margin from now, by both the wall clock and the
// monotonic clock, and returns the fencing token.
func (l *Lease) Valid(margin clock.Millis) (token uint64, ok bool) {
	h := l.held.Load()
	if h == nil {
		return 0, false
	}
	wall, monotonic := l.wall(), l.monotonic()
	// The monotonic clock may stop while the machine is suspended; the wall clock may be set back.
	ok = (l.ignoreWall || wall+margin < h.validUntil.wall) && (l.ignoreMonotonic || monotonic+margin < h.validUntil.monotonic) &&
		monotonic >= h.usableFrom
	return h.token, ok
}

// Run acquires and renews the lease until ctx ends. An instance that stops lets its lease expire instead of releasing
// it: a restore of the table could bring back a row that marks the lease as free while another instance holds it.
func (l *Lease) Run(ctx context.Context) error {
	// spread keeps instances that start together from reading and taking over the lease simultaneously.
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
			l.markLost("instance is shutting down")
			return err
		}
	}
}

// step renews the lease or tries to acquire it, and returns the time until the next round.
func (l *Lease) step(ctx context.Context) clock.Millis {
	if h := l.held.Load(); h != nil {
		if l.expired(h.validUntil) {
			l.markLost("not renewed in time")
			return 0
		}
		return l.renew(ctx, h)
	}
	if !l.candidate() {
		l.observed = nil
		return roundInterval
	}
	return l.watchHolder(ctx)
}

// markLost records that this instance no longer holds the lease.
func (l *Lease) markLost(reason string) {
	if h := l.held.Swap(nil); h != nil {
		l.observed = nil
		l.log.WithFields(log.Fields{"lease": l.key, "fencing-number": h.token, "reason": reason}).Info("lease lost")
	}
}

package lease

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// observation is what this instance saw of another holder's row.
type observation struct {
	attempt string
	// first is the time of the first read by the monotonic clock.
	first clock.Millis
}

// follow reads the row of another holder, takes the lease over if it has expired, and returns the time until the next
// round.
func (l *Lease) follow(ctx context.Context) clock.Millis {
	row, exists, err := l.get(ctx, l.key)
	now := l.now()
	l.forget(now)
	if err != nil {
		return interval
	}
	if w, ok := l.outstanding[row.Attempt]; exists && ok {
		l.publish(row.Attempt, w)
		return 0
	}
	if !exists {
		return l.acquire(ctx, 0, table.Absent())
	}
	if l.observed == nil || l.observed.attempt != row.Attempt {
		l.observed = &observation{attempt: row.Attempt, first: now.monotonic}
	}
	// The row's own expiry is not used: it follows another machine's clock.
	if now.monotonic-l.observed.first <= duration+skew && !l.takeEarly {
		return interval
	}
	return l.acquire(ctx, row.Version, table.AttemptIs(row.Attempt))
}

// acquire tries to become the holder after the holder with the token last.
func (l *Lease) acquire(ctx context.Context, last uint64, condition table.Condition) clock.Millis {
	w := written{start: l.now(), settle: settle}
	if l.takeEarly {
		w.settle = 1
	}
	// The wall clock keeps tokens increasing when a restore brings back a row with a lower token.
	w.token = max(last+1, l.highest+1, uint64(max(0, w.start.wall)))
	attempt := l.attemptID()
	if err := l.write(ctx, attempt, w, condition); err != nil {
		return retry
	}
	l.publish(attempt, w)
	return interval
}

// forget removes writes that could no longer start a valid lease.
func (l *Lease) forget(now instant) {
	for attempt, w := range l.outstanding {
		if end := w.start.plus(duration); now.wall >= end.wall || now.monotonic >= end.monotonic {
			delete(l.outstanding, attempt)
		}
	}
}

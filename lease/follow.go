package lease

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// observation is the last observed write of another holder's row.
type observation struct {
	attempt string
	// firstSeen is the time of the first read of this write, by the monotonic clock.
	firstSeen clock.Millis
}

// watchHolder reads the lease row, takes over the lease if it has expired, and returns the time until the next round.
func (l *Lease) watchHolder(ctx context.Context) clock.Millis {
	row, exists, err := l.get(ctx, l.key)
	now := l.now()
	l.pruneOutstanding(now)
	if err != nil {
		return roundInterval
	}
	if w, ok := l.outstanding[row.Attempt]; exists && ok {
		l.publish(row.Attempt, w)
		return 0
	}
	if !exists {
		return l.acquire(ctx, 0, table.Absent())
	}
	if l.observed == nil || l.observed.attempt != row.Attempt {
		l.observed = &observation{attempt: row.Attempt, firstSeen: now.monotonic}
	}
	// The expiry in the row is not used: it follows another machine's clock.
	if now.monotonic-l.observed.firstSeen <= leaseDuration+maxClockSkew && !l.earlyTakeOver {
		return roundInterval
	}
	return l.acquire(ctx, row.Version, table.AttemptIs(row.Attempt))
}

// acquire tries to become the holder that follows the one with lastToken, and returns the time until the next round.
func (l *Lease) acquire(ctx context.Context, lastToken uint64, condition table.Condition) clock.Millis {
	w := pendingWrite{start: l.now(), activationDelay: activationDelay}
	if l.earlyTakeOver {
		w.activationDelay = 1
	}
	// The wall clock keeps tokens increasing when a restore of the table brings back a row with a lower token.
	w.token = max(lastToken+1, l.highestToken+1, uint64(max(0, w.start.wall)))
	attempt := l.attemptID()
	if err := l.write(ctx, attempt, w, condition); err != nil {
		return retryDelay
	}
	l.publish(attempt, w)
	return roundInterval
}

// pruneOutstanding removes the writes whose lease would have expired already.
func (l *Lease) pruneOutstanding(now instant) {
	for attempt, w := range l.outstanding {
		if end := w.start.plus(leaseDuration); now.wall >= end.wall || now.monotonic >= end.monotonic {
			delete(l.outstanding, attempt)
		}
	}
}

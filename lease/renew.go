package lease

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// renew extends the lease and returns the time until the next round.
func (l *Lease) renew(ctx context.Context, h *held) clock.Millis {
	attempt, w := l.attemptID(), pendingWrite{token: h.token, start: l.now(), usableFrom: h.usableFrom}
	err := l.write(ctx, attempt, w, table.AttemptIs(h.attempt))
	if err == nil {
		l.publish(attempt, w)
		return roundInterval
	}
	// The write failed, its effect or that of an earlier write is unknown, or another instance has taken over the lease.
	row, exists, readErr := l.get(ctx, l.key)
	if readErr != nil {
		return retryDelay
	}
	if own, ok := l.outstanding[row.Attempt]; exists && ok {
		l.publish(row.Attempt, own)
		return retryDelay
	}
	if !exists || row.Attempt != h.attempt {
		l.markLost("row was replaced")
		return 0
	}
	return retryDelay
}

// write writes the row, and records the write as outstanding if its effect is unknown.
func (l *Lease) write(ctx context.Context, attempt string, w pendingWrite, condition table.Condition) error {
	row, err := l.row(attempt, w)
	if err != nil {
		return err
	}
	err = l.put(ctx, row, condition)
	var uncertain *table.UncertainError
	if errors.As(err, &uncertain) {
		l.outstanding[attempt] = w
	}
	if err != nil && !errors.Is(err, table.ErrConditionFailed) {
		l.log.WithError(err).WithField("lease", l.key).Warn("write of the lease row failed or has an unknown effect")
	}
	return err
}

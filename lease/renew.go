package lease

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// renew extends the lease and returns the time until the next round.
func (l *Lease) renew(ctx context.Context, h *held) clock.Millis {
	attempt, w := l.attemptID(), written{token: h.token, start: l.now(), usable: h.usable}
	err := l.write(ctx, attempt, w, table.AttemptIs(h.attempt))
	if err == nil {
		l.publish(attempt, w)
		return interval
	}
	// The effect of this write or of an earlier one is unknown, or another instance has taken over.
	row, exists, readErr := l.get(ctx, l.key)
	if readErr != nil {
		return retry
	}
	if own, ok := l.outstanding[row.Attempt]; exists && ok {
		l.publish(row.Attempt, own)
		return retry
	}
	if !exists || row.Attempt != h.attempt {
		l.drop("row was replaced")
		return 0
	}
	return retry
}

// write puts the row and remembers the write if its effect is unknown.
func (l *Lease) write(ctx context.Context, attempt string, w written, condition table.Condition) error {
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
		l.log.WithError(err).WithField("lease", l.key).Warn("lease not written")
	}
	return err
}

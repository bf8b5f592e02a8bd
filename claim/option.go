package claim

import (
	"context"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// Option configures a Ledger.
type Option func(*Ledger)

// WithClock sets the clock; the default is the system's.
func WithClock(c *clock.Clock) Option { return func(l *Ledger) { l.clock = c } }

// WithLog sets the logger.
func WithLog(i log.Interface) Option { return func(l *Ledger) { l.log = i } }

// WithTable sets the functions that read and write rows, with the contracts of table.Table. They must enforce a timeout
// of their own, since some calls get a context that never ends.
func WithTable(
	get func(ctx context.Context, key string) (table.Row, bool, error),
	put func(ctx context.Context, row table.Row, condition table.Condition) error,
) Option {
	return func(l *Ledger) { l.get, l.put = get, put }
}

// WithObjects sets the functions that read and write objects, with the contracts of objects.Objects.
func WithObjects(
	get func(ctx context.Context, key string) ([]byte, error),
	putNew func(ctx context.Context, key string, data []byte) error,
) Option {
	return func(l *Ledger) { l.getObject, l.putObject = get, putNew }
}

// WithTimeLimit sets the function that returns the maximum timeout of calls. A claim that has been in the state sending
// for longer is not expected to get an answer any more. The default is ten minutes.
func WithTimeLimit(f func() clock.Millis) Option { return func(l *Ledger) { l.timeLimit = f } }

// WithViolation sets a function that is called when an invariant is violated, for example to count violations.
func WithViolation(f func(error)) Option { return func(l *Ledger) { l.onViolation = f } }

// WithAttemptIDs sets the function that returns attempt ids, which must be unique across all instances and never be
// reused. The default returns 130 random bits.
func WithAttemptIDs(f func() string) Option { return func(l *Ledger) { l.attemptID = f } }

package lease

import (
	"context"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// Option configures a Lease.
type Option func(*Lease)

// WithKey sets the key of the lease row, such as "lease/DOMAIN".
func WithKey(key string) Option { return func(l *Lease) { l.key = key } }

// WithHolder sets the id of this instance.
func WithHolder(id poplarwinch.InstanceID) Option { return func(l *Lease) { l.holder = id } }

// WithTable sets the functions that read and write rows, with the contracts of table.Table. They must enforce a timeout
// of their own.
func WithTable(
	get func(ctx context.Context, key string) (table.Row, bool, error),
	put func(ctx context.Context, row table.Row, condition table.Condition) error,
) Option {
	return func(l *Lease) { l.get, l.put = get, put }
}

// WithCandidate sets the function that reports whether this instance may become the holder; by default every instance
// may. Instances that are not candidates don't read the row. A current holder keeps the lease in any case.
func WithCandidate(f func() bool) Option { return func(l *Lease) { l.candidate = f } }

// WithClock sets the clock used for waiting; the default is the system's.
func WithClock(c *clock.Clock) Option { return func(l *Lease) { l.clock = c } }

// WithWallClock sets the wall clock; the default is that of WithClock.
func WithWallClock(f func() clock.Millis) Option { return func(l *Lease) { l.wall = f } }

// WithMonotonicClock sets the monotonic clock; the default is the system's.
func WithMonotonicClock(f func() clock.Millis) Option { return func(l *Lease) { l.monotonic = f } }

// WithLog sets the logger.
func WithLog(i log.Interface) Option { return func(l *Lease) { l.log = i } }

// WithAttemptIDs sets the function that returns attempt ids of writes, which must be unique across all instances. The
// default returns 130 random bits.
func WithAttemptIDs(f func() string) Option { return func(l *Lease) { l.attemptID = f } }

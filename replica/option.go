package replica

import (
	"context"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Replica.
type Option func(*Replica)

// WithSource sets the functions that read the table: read returns all rows, and changes waits for rows that changed after a
// version, where an empty batch means that there were none for a while.
func WithSource(read func(ctx context.Context) (Batch, error), changes func(ctx context.Context, after Version) (Batch, error)) Option {
	return func(r *Replica) { r.read, r.changes = read, changes }
}

// WithChanged sets the function that is called with all rows that exist, in order of their keys, after each change.
func WithChanged(changed func(rows []Row)) Option { return func(r *Replica) { r.changed = changed } }

// WithLapsing says that rows which vanish while the source is away may come back, so that they are kept for a while.
func WithLapsing() Option { return func(r *Replica) { r.keepLapsed = true } }

// WithClock sets the clock; the default is monotonic.
func WithClock(c *clock.Clock) Option { return func(r *Replica) { r.clock = c } }

// WithLog sets the log; the default is apex/log's own.
func WithLog(l log.Interface) Option { return func(r *Replica) { r.log = l } }

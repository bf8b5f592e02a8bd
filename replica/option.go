package replica

import (
	"context"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Replica.
type Option func(*Replica)

// WithSource sets the functions that read the table: read returns all rows, and changes waits for changes after a version. It
// may return an empty batch if there are none for a while.
func WithSource(read func(ctx context.Context) (Batch, error), changes func(ctx context.Context, after Version) (Batch, error)) Option {
	return func(r *Replica) { r.read, r.changes = read, changes }
}

// WithOnChange sets the function that is called after each change with all existing rows, ordered by key.
func WithOnChange(changed func(rows []Row)) Option { return func(r *Replica) { r.changed = changed } }

// WithMissingRowGrace keeps rows that are missing from a snapshot for a while, because rows that the source dropped during an
// outage may come back.
func WithMissingRowGrace() Option { return func(r *Replica) { r.keepMissing = true } }

// WithClock sets the clock; the default is monotonic.
func WithClock(c *clock.Clock) Option { return func(r *Replica) { r.clock = c } }

// WithLog sets the log; the default is apex/log's default logger.
func WithLog(l log.Interface) Option { return func(r *Replica) { r.log = l } }

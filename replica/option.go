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
// outage may reappear.
func WithMissingRowGrace() Option { return func(r *Replica) { r.keepMissing = true } }

// WithSupersedes sets the function that reports whether a row has a later state than another one with the same key, by what they say
// themselves. It decides between a row of an earlier era and one of the restored source; without it the source's row counts.
func WithSupersedes(supersedes func(row, other Row) bool) Option {
	return func(r *Replica) { r.supersedes = supersedes }
}

// WithIdentity sets the function that returns what a row is about beyond its key, as the process of a server that may start again. Of the
// rows that a restored source has, those are held back that are about the same as one that was removed; the default is the value.
func WithIdentity(identity func(row Row) string) Option {
	return func(r *Replica) { r.identity = identity }
}

// WithGeneration sets the function that returns how new the rows are by what they say themselves, as a number that only rises; zero if
// that is not known. By it, instances that start after a restoration learn that their peers know later states than the source.
func WithGeneration(generation func(rows []Row) int64) Option {
	return func(r *Replica) { r.generation = generation }
}

// WithOnEra sets the function that is called after the first rows have told the source's era, and after each restoration of the source from an
// older copy of itself, with the era that began then.
func WithOnEra(onEra func(era Era)) Option { return func(r *Replica) { r.onEra = onEra } }

// WithClock sets the clock; the default is monotonic.
func WithClock(c *clock.Clock) Option { return func(r *Replica) { r.clock = c } }

// WithLog sets the log; the default is apex/log's default logger.
func WithLog(l log.Interface) Option { return func(r *Replica) { r.log = l } }

package cost

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// tickInterval is the time between two looks at the clock.
	tickInterval clock.Millis = 200
	// freezeLimit is the delay of a tick from which this instance is taken to have been frozen. It is above the pauses of an instance that
	// has 0.19 of a core, which come with every scheduling period of 100 ms.
	freezeLimit clock.Millis = 300
)

// freezeDetector finds times in which this instance did not run, from the delays of ticks.
type freezeDetector struct {
	// tickedAt is the time of the latest tick; zero without ticks.
	tickedAt clock.Millis
	// endedAt is the time at which the latest freeze had ended; zero if there was none.
	endedAt clock.Millis
}

func (d *freezeDetector) tick(now clock.Millis) {
	if d.late(now) {
		d.endedAt = now
	}
	d.tickedAt = now
}

// late reports whether the next tick is overdue.
func (d *freezeDetector) late(now clock.Millis) bool {
	return d.tickedAt != 0 && now-d.tickedAt > tickInterval+freezeLimit
}

// spans reports whether this instance was frozen between start and now.
func (d *freezeDetector) spans(start, now clock.Millis) bool {
	return d.late(now) || d.endedAt != 0 && start <= d.endedAt
}

// Run looks for freezes of this instance until ctx ends. Without it, samples that span a freeze are not recognized.
func (e *Estimator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mutex.Lock()
		e.freeze.tick(e.clock.Now())
		e.mutex.Unlock()
		_ = e.clock.Sleep(ctx, tickInterval)
	}
}

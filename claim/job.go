package claim

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
)

// job is a write that is retried until its effect is certain.
type job struct {
	write func(ctx context.Context) error
	// bytes estimates the memory that the job takes.
	bytes int
	due   clock.Millis
	delay backoff
}

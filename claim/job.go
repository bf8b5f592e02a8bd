package claim

import (
	"context"

	"github.com/poplarwinch/poplarwinch/clock"
)

// job is a write that is repeated until its effect is certain.
type job struct {
	step  func(ctx context.Context) error
	bytes int
	due   clock.Millis
	wait  backoff
}

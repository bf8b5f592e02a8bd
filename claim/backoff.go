package claim

import "github.com/poplarwinch/poplarwinch/clock"

const (
	// minPollDelay is the first delay between reads of a row that another attempt holds.
	minPollDelay clock.Millis = 200
	// maxPollDelay is the longest delay between reads of a row that another attempt holds.
	maxPollDelay clock.Millis = 2000
	// minRetryDelay is the first delay between retries of an uncertain write.
	minRetryDelay clock.Millis = 200
	// maxRetryDelay is the longest delay between retries of an uncertain write.
	maxRetryDelay clock.Millis = 5000
)

// backoff computes delays that grow by half each time.
type backoff struct{ last clock.Millis }

// next returns the next delay, from first up to limit.
func (b *backoff) next(first, limit clock.Millis) clock.Millis {
	b.last = min(max(first, b.last*3/2), limit)
	return b.last
}

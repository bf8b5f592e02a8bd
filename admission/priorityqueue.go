package admission

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
)

const (
	// rateLimitPercent limits the rate at which an instance admits queued prompt tokens, in percent of its share of the
	// engines' prefill rate. Otherwise instances that decide on the same stale load reports overload the engines together.
	rateLimitPercent = 125
	// burstTime is the time for which unused rate accumulates.
	burstTime clock.Millis = 100
)

// priorityQueue is the queue of one priority, with a token bucket for its admissions. Each priority has its own, so that a
// waiting long prompt does not block short ones.
type priorityQueue struct {
	queue
	// available is the number of tokens in the bucket; it may be negative.
	available float64
	// refilledAt is the time of the latest refill of the bucket.
	refilledAt clock.Millis
	// sweptAt is the time of the latest sweep.
	sweptAt clock.Millis
}

// takeTokens refills the bucket at the instance's share of the engines' rate. It takes tokens from it and reports true unless
// the bucket is overdrawn. One request may overdraw the bucket, and the following ones wait until it is refilled.
func (q *priorityQueue) takeTokens(now clock.Millis, tokens int64, rate int64) bool {
	tokensPerMilli := float64(rate) * rateLimitPercent / 100 / 1000
	q.available = min(q.available+tokensPerMilli*float64(now-q.refilledAt), tokensPerMilli*float64(burstTime))
	q.refilledAt = now
	if q.available < 0 {
		return false
	}
	q.available -= float64(tokens)
	return true
}

// prefillTime returns the time for the prefill of tokens at a rate in tokens per second.
func prefillTime(tokens, rate int64) clock.Millis { return clock.Millis(tokens * 1000 / max(rate, 1)) }

// rateShare returns this instance's share of the engines' prefill rate in tokens per second.
func (c *Controller) rateShare(f routing.Forecast) int64 {
	return f.TokensPerSecond / int64(max(1, c.instances()))
}

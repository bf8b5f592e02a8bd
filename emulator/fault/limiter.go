package fault

import "github.com/poplarwinch/poplarwinch/clock"

// limiter is a token bucket with a capacity of one second's requests, but at least one.
type limiter struct {
	tokens float64
	last   clock.Millis
}

func (l *limiter) take(now clock.Millis, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	l.tokens = min(max(perSecond, 1), l.tokens+float64(now-l.last)/float64(clock.Second)*perSecond)
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

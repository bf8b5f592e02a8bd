package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// RequestRate is a number of requests per second.
type RequestRate float64

// limit is the rate of requests that a server takes from all instances together.
type limit struct {
	// rate is zero if there is no limit.
	rate RequestRate
	// observedAt is the time of the latest answer that named the limit, or showed that there is none.
	observedAt clock.Millis
}

// observe records what an answer says of the limit and reports whether that is new. Older observations are ignored.
func (l *limit) observe(rate RequestRate, at clock.Millis) bool {
	if at < l.observedAt {
		return false
	}
	changed := rate != l.rate
	l.rate, l.observedAt = rate, at
	return changed
}

// ObserveLimit records the limit that a server named in an answer, zero if it named none, and reports whether that is new. The request
// was sent at sentAt: only answers to requests that were sent after a limit was named show that it has ended.
func (f *Fleet) ObserveLimit(id poplarwinch.UpstreamID, rate RequestRate, sentAt clock.Millis) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.servers[id]
	if m == nil {
		return false
	}
	at := sentAt
	if rate > 0 {
		at = f.clock.Now()
	}
	return m.limit.observe(rate, at)
}

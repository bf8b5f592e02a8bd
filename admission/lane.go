package admission

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
)

const (
	// Under saturation an instance sends at most this share of its part of the engines' rate, so that several
	// instances that decide on the same late load reports don't overfill the engines together.
	paceFactorPercent = 125
	// Unused pace is kept for this long.
	paceBurst clock.Millis = 100
)

// lane holds the waiters of one priority. Each priority has its own, so that a long prompt that waits does not hold up
// short ones.
type lane struct {
	queue
	pace    float64
	pacedAt clock.Millis
	sweptAt clock.Millis
}

// paced takes tokens from the instance's part of the engines' rate and reports whether there was any left. One
// request may overdraw, and the next ones then wait for it.
func (l *lane) paced(now clock.Millis, tokens int64, rate int64) bool {
	perMilli := float64(rate) * paceFactorPercent / 100 / 1000
	l.pace = min(l.pace+perMilli*float64(now-l.pacedAt), perMilli*float64(paceBurst))
	l.pacedAt = now
	if l.pace < 0 {
		return false
	}
	l.pace -= float64(tokens)
	return true
}

// span returns the time that an instance with the given part of the engines' rate needs for tokens.
func span(tokens, rate int64) clock.Millis { return clock.Millis(tokens * 1000 / max(rate, 1)) }

// part returns this instance's part of the engines' rate.
func (c *Controller) part(f routing.Forecast) int64 {
	return f.TokensPerSecond / int64(max(1, c.instances()))
}

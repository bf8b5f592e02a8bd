package placement

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// An accepted order is repeated after this time, in case an order of an earlier holder has replaced it. Engines go on
	// with a load that a repeated order names again.
	repeatAfter = 10 * clock.Second
	// An order that was rejected or not answered is repeated once its validity has ended.
	retryAfter = validity
	// A load that takes longer is regarded as failed: it no longer counts as a load, and the model gets another engine.
	loadLimit = 2 * clock.Minute
)

// underway is an order whose effect has not been observed yet.
type underway struct {
	models []upstream.Loaded
	boot   string
	since  clock.Millis
	// next is when the order may be repeated.
	next clock.Millis
}

// failed reports whether the order has had no effect for too long.
func (u *underway) failed(now clock.Millis) bool { return now-u.since > loadLimit }

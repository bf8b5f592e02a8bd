package placement

import (
	"slices"

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
	// Large models take minutes to load from the rate-limited weight store.
	loadLimit = 10 * clock.Minute
)

// underway is an order whose effect has not been observed yet.
type underway struct {
	models []upstream.Loaded
	// observed is what the engine had when the order was decided.
	observed []upstream.Loaded
	boot     string
	since    clock.Millis
	// next is when the order may be repeated.
	next clock.Millis
	// valid is when the last order to the engine expires by this instance's clock. Until then an order of unknown effect may still arrive.
	valid clock.Millis
}

// failed reports whether the order has had no effect for too long.
func (u *underway) failed(now clock.Millis) bool { return now-u.since > loadLimit }

// outdated reports whether the engine got models that the decision did not know of and that a repeated order would unload.
// They come from an earlier order whose effect was unknown, or from an earlier holder.
func (u *underway) outdated(e *Engine) bool {
	return slices.ContainsFunc(e.Models, func(m upstream.Loaded) bool { return !contains(u.models, m) && !contains(u.observed, m) })
}

package placement

import (
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// repeatAfter is the time after which an accepted order is repeated, in case an order of an earlier holder has
	// replaced it. Engines continue a load that a repeated order names again.
	repeatAfter = 10 * clock.Second
	// retryAfter is the time after which an order that was rejected or not answered is repeated: once it has expired.
	retryAfter = orderValidity
	// loadTimeout is the time after which a load counts as failed: it no longer counts as a concurrent load, and another
	// engine may get the model. Large models take minutes to load from the rate-limited weight store.
	loadTimeout = 10 * clock.Minute
)

// pending is an order whose effect has not been observed yet.
type pending struct {
	models []upstream.LoadedModel
	// observed holds the models that the engine had when the order was decided.
	observed  []upstream.LoadedModel
	bootID    string
	firstSent clock.Millis
	// repeatAt is the time from which the order may be repeated.
	repeatAt clock.Millis
	// validUntil is the time, by this instance's clock, at which the last order to the engine expires. Until then an order
	// of unknown effect may still arrive.
	validUntil clock.Millis
}

// timedOut reports whether the order has been pending for longer than loadTimeout.
func (o *pending) timedOut(now clock.Millis) bool { return now-o.firstSent > loadTimeout }

// conflictsWith reports whether the engine has models that the decision did not take into account and that a repeated
// order would unload. They come from an earlier order whose effect was unknown, or from an earlier holder.
func (o *pending) conflictsWith(e *Engine) bool {
	return slices.ContainsFunc(e.Models, func(m upstream.LoadedModel) bool { return !containsModel(o.models, m) && !containsModel(o.observed, m) })
}

package placement

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Order states the desired models of an engine.
type Order struct {
	FencingNumber uint64
	// ValidUntil is the Unix time after which engines reject the order.
	ValidUntil clock.Millis
	Models     []upstream.Loaded
}

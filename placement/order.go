package placement

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Order is a command to an engine that sets the complete list of models to have loaded.
type Order struct {
	// FencingToken is the fencing token of the lease.
	FencingToken uint64
	// ValidUntil is the Unix time after which engines reject the order.
	ValidUntil clock.Millis
	Models     []upstream.LoadedModel
}

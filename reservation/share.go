// Package reservation reserves KV cache memory on groups of engines and reclaims reservations and exports whose deadline
// has passed.
package reservation

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/engine"
)

// Candidate is an engine that may take a share of a group.
type Candidate struct {
	Upstream poplarwinch.UpstreamID
	Address  string
	// FreeTokens is the memory that the engine last reported as not held by requests, reservations and exports.
	FreeTokens poplarwinch.Tokens
}

// Share is the memory that a group holds on one engine.
type Share struct {
	Upstream poplarwinch.UpstreamID
	Address  string
	ID       engine.ReservationID
	Tokens   poplarwinch.Tokens
}

// Group is memory on several engines that is reserved for one prompt. The first share is the largest; its engine runs
// the prompt.
type Group struct {
	Shares []Share
}

// Members returns all shares but the first in the form that the engine API takes.
func (g *Group) Members() []engine.Member {
	members := make([]engine.Member, 0, len(g.Shares)-1)
	for _, s := range g.Shares[1:] {
		members = append(members, engine.Member{Address: s.Address, Reservation: s.ID})
	}
	return members
}

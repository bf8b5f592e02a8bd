// Package gossip lets the instances of a deployment tell each other what work they have on which servers, which versions of
// the platform's tables they know, and which requests crash servers.
//
// Each datagram has all of the sender's work, or all work on the servers of whole failure domains, and replaces the one before,
// so lost, repeated and overtaken ones do no harm. Tables that an instance
// can't read itself are fetched from a peer by a connect-go call.
package gossip

import (
	"net/netip"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Member is one instance.
type Member struct {
	ID     poplarwinch.InstanceID
	Domain poplarwinch.FailureDomain
	// Address receives datagrams and, over TCP, calls.
	Address netip.AddrPort
}

// peerState is what is known of another instance.
type peerState struct {
	Member
	// boot distinguishes processes of the same instance; sequence orders the datagrams of one.
	boot     int64
	sequence uint64
	// heardAt is the time of the last datagram; zero when there was none.
	heardAt clock.Millis
	// follows says that the peer follows the platform's tables itself.
	follows bool
	// greet says that the peer came alive and has not been told of this instance's work yet.
	greet bool
	// failing says that the peer can't read the platform's tables.
	failing bool
}

// Package gossip exchanges state between the instances of a deployment: the load that each puts on the servers, the
// versions of the platform's tables that it knows, and the requests that crash servers.
//
// Each datagram has the sender's complete report, summaries of cells, or changes of tables. Reports and summaries replace the
// ones before, so that lost, duplicate and reordered datagrams are harmless; a gap in the changes of a table shows by their
// versions. Tables that an instance can't read itself are fetched from a peer by a connect-go call.
package gossip

import (
	"net/netip"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// Member identifies an instance and its address.
type Member struct {
	ID     poplarwinch.InstanceID
	Domain poplarwinch.FailureDomain
	// Address is the address for datagrams over UDP and calls over TCP.
	Address netip.AddrPort
}

// peerState is the state of a peer as known to this instance.
type peerState struct {
	Member
	// boot distinguishes successive processes of the peer.
	boot int64
	// sequence is the number of the process's latest datagram.
	sequence uint64
	// heardAt is the time of the last datagram; zero if there was none or the peer has left.
	heardAt clock.Millis
	// addedAt is the time at which the peer became known without a datagram; zero otherwise.
	addedAt clock.Millis
	// left is set if the peer has announced that it stops.
	left bool
	// cell is the peer's cell as of its last datagram.
	cell fleet.Cell
	// follows is set if the peer follows the platform's tables itself.
	follows bool
	// needsUpdate is set if the peer came alive and has not been sent this instance's report yet.
	needsUpdate bool
	// failing is set if the peer can't read the platform's tables.
	failing bool
}

package settings

import "net/netip"

// Advertise holds the addresses that other instances use.
type Advertise struct {
	// Peer is the address of the instance for its peers; the default is the address on which it listens.
	Peer netip.AddrPort
}

func (a *Advertise) read(r *reader, listen netip.AddrPort) {
	const section, key = "advertise", "peer"
	value := r.optional(section, key)
	a.Peer = listen
	if value != "" {
		a.Peer = r.address(section, key, value)
	}
	if a.Peer.IsValid() && a.Peer.Addr().IsUnspecified() {
		r.problem(section, key, value, "write the IP:port at which other instances reach this one",
			"%s is not an address to which others can connect", a.Peer)
	}
}

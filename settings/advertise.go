package settings

import "net/netip"

// Advertise holds the addresses under which other instances reach this one.
type Advertise struct {
	// Peer is the address for peers; the default is the address on which the instance listens for them.
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
		r.addProblem(section, key, value, "write the IP:port at which other instances reach this one",
			"%s is not an address to which others can connect", a.Peer)
	}
}

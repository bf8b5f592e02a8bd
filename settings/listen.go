package settings

import "net/netip"

// Listen holds the addresses on which the instance accepts connections.
type Listen struct {
	Caller   netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
}

func (l *Listen) read(r *reader) {
	const section = "listen"
	used := map[netip.AddrPort]string{}
	one := func(key string) netip.AddrPort {
		a := r.address(section, key, r.text(section, key, "write IP:port, for example 127.0.0.1:8080"))
		if first, ok := used[a]; ok && a.IsValid() {
			r.problem(section, key, a.String(), "use another port", "the address is also that of %s", first)
		}
		used[a] = key
		return a
	}
	l.Caller, l.Peer, l.Operator = one("caller"), one("peer"), one("operator")
}

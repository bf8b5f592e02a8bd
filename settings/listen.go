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
	keyByAddress := map[netip.AddrPort]string{}
	readAddress := func(key string) netip.AddrPort {
		parsed := r.address(section, key, r.required(section, key, "write IP:port, for example 127.0.0.1:8080"))
		if firstKey, ok := keyByAddress[parsed]; ok && parsed.IsValid() {
			r.addProblem(section, key, parsed.String(), "use another port", "the address is also that of %s", firstKey)
		}
		keyByAddress[parsed] = key
		return parsed
	}
	l.Caller, l.Peer, l.Operator = readAddress("caller"), readAddress("peer"), readAddress("operator")
}

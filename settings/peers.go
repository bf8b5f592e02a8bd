package settings

import (
	"net/netip"
	"strings"
)

// EnvPeerSecret is the name of the environment variable with the secret that the instances share.
const EnvPeerSecret = "POPLARWINCH_PEER_SECRET"

// Peers holds what an instance needs to find and authenticate its peers.
type Peers struct {
	// Seeds are peer addresses to try in addition to the instance list; the list may be empty.
	Seeds []netip.AddrPort
	// Secret authenticates the instances of a failure domain to each other.
	Secret Secret
}

func (p *Peers) read(r *reader) {
	const section = "peers"
	if value := r.optional(section, "seeds"); value != "" {
		for _, seed := range strings.Split(value, ",") {
			seed = strings.TrimSpace(seed)
			if seed == "" {
				r.addProblem(section, "seeds", value, "remove the surplus comma", "the list has an empty entry")
			} else if parsed := r.address(section, "seeds", seed); parsed.IsValid() {
				p.Seeds = append(p.Seeds, parsed)
			}
		}
	}
	p.Secret = r.secret(section, "secret-file", EnvPeerSecret, 16)
}

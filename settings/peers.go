package settings

import (
	"net/netip"
	"strings"
)

// VariablePeerSecret is the environment variable for the secret that the instances share.
const VariablePeerSecret = "POPLARWINCH_PEER_SECRET"

// Peers holds what an instance needs to join the others.
type Peers struct {
	// Seeds are peer addresses that are tried in addition to the instance list; there may be none.
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
				r.problem(section, "seeds", value, "remove the surplus comma", "the list has an empty entry")
			} else if a := r.address(section, "seeds", seed); a.IsValid() {
				p.Seeds = append(p.Seeds, a)
			}
		}
	}
	p.Secret = r.secret(section, "secret-file", VariablePeerSecret, 16)
}

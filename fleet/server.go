// Package fleet knows the upstreams of all services, the work that this instance and its peers have on them, and which of
// them recently failed.
package fleet

import "github.com/poplarwinch/poplarwinch"

// Server is one upstream as the instance list describes it.
type Server struct {
	ID      poplarwinch.UpstreamID
	Address string
	Domain  poplarwinch.FailureDomain
	Service poplarwinch.ServiceName
	Slots   int
	// Leaving says that the server accepts no new work.
	Leaving bool
	// Boot distinguishes starts of a server under the same id.
	Boot int64
}

// same reports whether a and b are the same process at the same address.
func (s Server) same(o Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.Service == o.Service && s.Boot == o.Boot
}

// Package fleet tracks the upstreams of all services, the load that this instance and its peers put on them, and their
// health.
package fleet

import "github.com/poplarwinch/poplarwinch"

// Server is one upstream of a service.
type Server struct {
	ID      poplarwinch.UpstreamID
	Address string
	Domain  poplarwinch.FailureDomain
	Service poplarwinch.ServiceName
	Slots   int
	// Leaving says that the server accepts no new requests.
	Leaving bool
	// Boot distinguishes processes that run under the same id one after the other.
	Boot int64
}

// same reports whether a and b are the same process at the same address.
func (s Server) same(o Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.Service == o.Service && s.Boot == o.Boot
}

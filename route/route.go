// Package route holds the routes, services and customers of one configuration version and resolves requests to them.
package route

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Route maps the requests to a host below a path prefix to services, with their limits.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable says that another server may continue a stream after its last event.
	Resumable bool
	// Anonymous says that requests need no API key.
	Anonymous bool
	// Timeout is the longest time in which a request is answered.
	Timeout clock.Millis
	// Target is the expected time to the answer, or to the first event of a stream.
	Target clock.Millis
	// MaxPause is the longest acceptable pause between two events of a stream; zero means no limit.
	MaxPause clock.Millis
	// MaxAttempts bounds the servers that may execute one request.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// AllowedRegions are the regions whose servers may get the route's requests; empty allows all.
	AllowedRegions []Region
	// Targets are the services that share the requests of the route.
	Targets []Target
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service poplarwinch.ServiceName
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Service returns the service for a request by the weights of the targets. n is a number that is uniformly distributed
// over requests.
func (r *Route) Service(n uint64) poplarwinch.ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	left := int(n % uint64(total))
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return r.Targets[0].Service
}

// MayRepeat reports whether a request may be retried after it may have been executed.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

package manifest

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Service is a plain service, which customers call through the deployment.
type Service struct {
	Name poplarwinch.ServiceName `json:"name"`
	// Timeout is the timeout of a call.
	Timeout clock.Millis `json:"timeout-ms"`
	// NonRepeatable matches the calls that run at most once; all others may be retried as HTTP defines it.
	NonRepeatable []Route `json:"non-repeatable,omitempty"`
	// AtMostOnceWithoutKey allows non-repeatable calls without an Idempotency-Key. They are sent once and never retried.
	AtMostOnceWithoutKey bool `json:"at-most-once-without-key,omitempty"`
}

// IsNonRepeatable reports whether a call with the given method and decoded path must run at most once.
func (s *Service) IsNonRepeatable(method, path string) bool {
	for _, r := range s.NonRepeatable {
		if r.Matches(method, path) {
			return true
		}
	}
	return false
}

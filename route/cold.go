package route

import "github.com/poplarwinch/poplarwinch/clock"

// Cold limits the requests to a server of a service that has recently started. The zero Cold means that the service has no such limit.
type Cold struct {
	// Start is the time for which a server is cold after its start.
	Start clock.Millis
	// PerSecond is the target rate of requests to a cold server from all instances together.
	PerSecond float64
}

package settings

import "github.com/poplarwinch/poplarwinch/clock"

// Stop configures the graceful shutdown.
type Stop struct {
	// Unready is the time for which the instance reports itself unready but still accepts requests.
	Unready clock.Millis
	// Drain bounds the wait for requests in progress; zero means the longest timeout that the manifest permits.
	Drain clock.Millis
}

func (s *Stop) read(r *reader) {
	const section = "stop"
	s.Unready = clock.Millis(r.number(section, "unready-ms", 5000, 0, 600_000))
	s.Drain = clock.Millis(r.number(section, "drain-ms", 0, 1, 86_400_000))
}

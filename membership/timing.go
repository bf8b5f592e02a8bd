package membership

import "github.com/poplarwinch/poplarwinch/clock"

// Timing of failure detection. A silent member is probed within about a second by one of its
// peers; the direct and the indirect probe take a second each, so it is suspect after about 3 s,
// and dead 7 s later.
const (
	interval         = clock.Second
	probeTimeout     = clock.Second
	indirectTimeout  = clock.Second
	suspicionTimeout = 7 * clock.Second
	exchangeTimeout  = 2 * clock.Second
	// pauseLimit is the length of a gap between two rounds that shows that this process was paused.
	// The time it missed does not count against its peers.
	pauseLimit = 3 * clock.Second
	// retention is the time for which dead members are tried again. The longest partition the
	// design allows for lasts an hour.
	retention = 2 * clock.Hour
)

const (
	indirectProbes = 2
	// contactLimit bounds the contacts kept for each other domain: its delegates and as many spares.
	contactLimit = 2 * delegateCount
	// foreignCandidateLimit bounds the listed instances that are kept for each other domain.
	foreignCandidateLimit = 8
	// leaveFanout is the number of peers that are told of a leave directly.
	leaveFanout = 4
)

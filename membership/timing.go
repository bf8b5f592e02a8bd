package membership

import "github.com/poplarwinch/poplarwinch/clock"

// Timing of failure detection, in milliseconds. A crashed member is probed within about a second by one
// of its peers; the direct and the indirect probe take a second each, so the member is suspect after
// about 3 s, and dead 7 s later.
const (
	// roundInterval is the time between two rounds.
	roundInterval = clock.Second
	// probeTimeout is the timeout of a direct probe.
	probeTimeout = clock.Second
	// indirectProbeTimeout is the timeout of the indirect probes and of the repeated direct probe.
	indirectProbeTimeout = clock.Second
	// suspicionTimeout is the time after which a suspect that did not refute the suspicion is dead.
	suspicionTimeout = 7 * clock.Second
	// exchangeTimeout is the timeout of an exchange.
	exchangeTimeout = 2 * clock.Second
	// pauseThreshold is the time between two rounds above which this process is assumed to have been
	// paused. The gap then does not count against its peers.
	pauseThreshold = 3 * clock.Second
	// recordRetention is the time for which the records of dead members and of members that left are
	// kept, and dead members are contacted again. The longest partition the design allows for lasts an hour.
	recordRetention = 2 * clock.Hour
)

const (
	// indirectProbeCount is the number of relays of an indirect probe.
	indirectProbeCount = 2
	// contactLimit is the number of contacts kept for each other domain: its delegates and as many spares.
	contactLimit = 2 * delegateCount
	// otherDomainCandidateLimit is the number of listed instances kept for each other domain.
	otherDomainCandidateLimit = 8
	// leaveFanout is the number of peers that a leaving instance notifies directly.
	leaveFanout = 4
)

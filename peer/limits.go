package peer

import "time"

const (
	// messageLimit bounds a message; the largest one carries a whole manifest. Operators may commit
	// manifests of up to 8 MiB.
	messageLimit = 16 << 20
	// handlerTimeout bounds calls whose sender set no deadline.
	handlerTimeout = 10 * time.Second
	// callTimeout is the deadline of calls whose context has none.
	callTimeout = 2 * time.Second
	// manifestTimeout replaces callTimeout for manifests. Half of it, the time of the first attempt,
	// carries 8 MiB at 14 Mbit/s.
	manifestTimeout = 10 * time.Second
	// pingAfter and pingTimeout close a connection that went silent. Calls do not wait for that,
	// since they change to a fresh connection on their own. With 89 idle connections, pings after
	// 5 s cost about 1 KB/s.
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
	// serverPingAfter lets the server forget callers that vanished; the callers' pings come first.
	serverPingAfter = 30 * time.Second
	// linkLimit bounds the connections to peers: twice the design's largest domain.
	linkLimit = 256
	// relayShare is the share of a relayed probe's time that the probe of the target may take. The
	// rest lets the reply reach the asker, who would otherwise take this connection for stalled.
	relayShare = 0.7
)

// Procedures.
const (
	exchangeProcedure = "/poplarwinch.peer/Exchange"
	probeProcedure    = "/poplarwinch.peer/Probe"
	noticeProcedure   = "/poplarwinch.peer/Notice"
	manifestProcedure = "/poplarwinch.peer/Manifest"
)

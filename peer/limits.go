package peer

import "time"

const (
	// messageLimit is the largest size of a message in bytes. The largest messages carry a whole
	// manifest; operators may commit manifests of up to 8 MiB.
	messageLimit = 16 << 20
	// handlerTimeout bounds the time of each incoming call, for senders that set no deadline.
	handlerTimeout = 10 * time.Second
	// callTimeout is the timeout of calls whose context has no deadline, of dialing and of the server's shutdown.
	callTimeout = 2 * time.Second
	// manifestTimeout replaces callTimeout for manifests. Half of it, the timeout of the first attempt,
	// is enough for 8 MiB at 14 Mbit/s.
	manifestTimeout = 10 * time.Second
	// clientPingAfter is the time without received data after which a client pings its connection. With
	// 89 idle connections, pings after 5 s cost about 1 KB/s.
	clientPingAfter = 5 * time.Second
	// pingTimeout is the time after which a connection without a reply to a ping is closed. Calls do not
	// depend on it, since they retry on a new connection.
	pingTimeout = 2 * time.Second
	// serverPingAfter is the time without received data after which the server pings a connection, to
	// detect clients that are gone. It exceeds clientPingAfter, so that normally only clients ping.
	serverPingAfter = 30 * time.Second
	// linkLimit is the number of links to peers that are kept: twice the design's largest domain.
	linkLimit = 256
	// relayTimeoutFraction is the fraction of the time until a relayed probe's deadline that the probe of
	// the target may take. In the rest the reply reaches the prober, which would otherwise treat its
	// connection to the relay as stalled. It gets as much time as the probe itself, since relay and prober may both be slow.
	relayTimeoutFraction = 0.5
)

// Procedures, as paths of the HTTP requests.
const (
	exchangeProcedure = "/poplarwinch.peer/Exchange"
	probeProcedure    = "/poplarwinch.peer/Probe"
	noticeProcedure   = "/poplarwinch.peer/Notice"
	manifestProcedure = "/poplarwinch.peer/Manifest"
)

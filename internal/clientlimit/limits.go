// Package clientlimit bounds what clients make an instance hold before their requests are complete and while their answers are not read:
// connections, descriptors and the memory of request headers. It wraps the listener of a net/http server.
package clientlimit

import "time"

const (
	// connectionBytes is the memory of a connection: the goroutine's stack and net/http's buffers.
	connectionBytes = 16 << 10
	// copiesOfHeader is the number of copies of a request's headers in memory: received, decoded and for the server, and their garbage.
	copiesOfHeader = 4
	// fieldBytes is the memory of a header field apart from its text. Maps that grow take up to 170 bytes, in each of three copies.
	fieldBytes = 512
	// requestLineBytes is the size of a request line that doesn't count as headers.
	requestLineBytes = 1 << 10
	// sendBufferBytes is the size of the system's send buffer of a connection, which would grow to megabytes for unread answers.
	sendBufferBytes = 64 << 10
	// minBlockedTime is the age from which incomplete bodies and blocked writes give way to other requests.
	minBlockedTime = time.Second
	// sweepInterval is the interval at which expired connections are looked for. They are closed one interval later, so that those with
	// waiting input survive a pause of the process.
	sweepInterval = 250 * time.Millisecond
	// lingerTime and lingerBytes bound what is read after a refusal, so that the refusal is not lost in a reset.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 64 << 10
)

// Limits are the limits in force for the connections of clients.
type Limits struct {
	// MaxHeader is the largest size of a request's headers in bytes.
	MaxHeader int64
	// HeaderTimeout bounds the time from the first byte, or the opening of the connection, to the end of the headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
	// WriteStall bounds the time of a write that makes no progress.
	WriteStall time.Duration
}

// Descriptors has the shares of listeners and connections in the process's descriptors.
type Descriptors struct {
	// Callers is the number for callers' connections and the connections to servers that their requests need.
	Callers int
	// Peers and Side are the numbers of connections of the listener for peers and of each other one.
	Peers, Side int
}

const (
	// FileDescriptors is the number of descriptors that are reserved for files.
	FileDescriptors = 200
	// processDescriptors is the number of descriptors for listeners, the log, the store's connections and the runtime.
	processDescriptors = 16
	// sideConnections is the number of connections of a listener for readiness, metrics or operators.
	sideConnections = 8
	// minPeerConnections and peerShare determine the number of connections from peers: a 1/peerShare of all.
	minPeerConnections = 16
	peerShare          = 16
	// minCallerDescriptors allows a few requests also with settings that leave no descriptors.
	minCallerDescriptors = 16
)

// Share divides the descriptors of a process among its listeners.
func Share(files int) Descriptors {
	left := files - FileDescriptors
	d := Descriptors{Peers: max(minPeerConnections, left/peerShare), Side: sideConnections}
	d.Callers = max(left-processDescriptors-d.Peers-2*d.Side, minCallerDescriptors)
	return d
}

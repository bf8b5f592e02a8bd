package roster

import (
	"net"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
)

// Kind is what an endpoint serves.
type Kind string

// The kinds of endpoints.
const (
	// KindEngine is a model engine.
	KindEngine Kind = "engine"
	// KindService is an instance of a service other than a model engine.
	KindService Kind = "service"
	// KindEntry is an entry instance.
	KindEntry Kind = "entry"
)

// Names of ports.
const (
	// PortHTTP is the port of an engine or a service.
	PortHTTP = "http"
	// PortCaller is an entry instance's port for callers.
	PortCaller = "caller"
	// PortPeer is an entry instance's port for calls between instances.
	PortPeer = "peer"
)

// Endpoint is one process in the instance list.
type Endpoint struct {
	// ID is unique for each process; a replacement has a new one.
	ID   string
	Kind Kind
	// Name is the pool of an engine or the name of a service.
	Name          string
	IP            string
	Ports         map[string]int
	FailureDomain poplarwinch.FailureDomain
	Ready         bool
	Serving       bool
	Terminating   bool
}

// Address returns the address of the named port as HOST:PORT, or an empty string if there is no such port.
func (e Endpoint) Address(port string) string {
	number, ok := e.Ports[port]
	if !ok {
		return ""
	}
	return net.JoinHostPort(e.IP, strconv.Itoa(number))
}

package roster

import (
	"net"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
)

// Kind says what an endpoint is.
type Kind string

// The kinds of endpoints.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
	KindEntry   Kind = "entry"
)

// Names of ports.
const (
	PortHTTP   = "http"
	PortCaller = "caller"
	PortPeer   = "peer"
)

// Endpoint is one instance of the list.
type Endpoint struct {
	// ID is unique for each instance; a replacement has a new one.
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

// Address returns IP and number of the named port as HOST:PORT, or an empty string if there is no such port.
func (e Endpoint) Address(port string) string {
	n, ok := e.Ports[port]
	if !ok {
		return ""
	}
	return net.JoinHostPort(e.IP, strconv.Itoa(n))
}

package fault

import (
	"net"
	"net/http"
	"sync"
)

// Connections tracks the client connections of an emulator by remote address, so that the connections open at one
// time can be stalled permanently while later ones work. The zero value is ready to use.
type Connections struct {
	mutex sync.Mutex
	open  map[string]*connection
}

type connection struct {
	stalled   chan struct{}
	isStalled bool
}

// Stalled returns a channel that is closed when the connection of r is stalled.
func (c *Connections) Stalled(r *http.Request) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.getOrAdd(r.RemoteAddr).stalled
}

// Stall stalls all connections except the one from exceptAddress and returns the number of newly stalled ones.
func (c *Connections) Stall(exceptAddress string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := 0
	for address, o := range c.open {
		if address != exceptAddress && !o.isStalled {
			o.isStalled = true
			close(o.stalled)
			n++
		}
	}
	return n
}

// ConnState must be set as http.Server.ConnState, so that a new connection that reuses the port of a stalled one is
// not stalled.
func (c *Connections) ConnState(n net.Conn, s http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch s {
	case http.StateNew:
		delete(c.open, n.RemoteAddr().String())
		c.getOrAdd(n.RemoteAddr().String())
	case http.StateClosed, http.StateHijacked:
		delete(c.open, n.RemoteAddr().String())
	}
}

func (c *Connections) getOrAdd(address string) *connection {
	if c.open == nil {
		c.open = map[string]*connection{}
	}
	o := c.open[address]
	if o == nil {
		o = &connection{stalled: make(chan struct{})}
		c.open[address] = o
	}
	return o
}

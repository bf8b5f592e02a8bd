package fault

import (
	"net"
	"net/http"
	"sync"
)

// Connections tells apart the client connections of an emulator, by remote address, so that those open at one
// moment can be stalled for good while later ones work.
type Connections struct {
	mutex sync.Mutex
	open  map[string]*connection
}

type connection struct {
	stalled chan struct{}
	done    bool
}

// Stalled returns a channel that is closed once the connection of r is stalled.
func (c *Connections) Stalled(r *http.Request) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.entry(r.RemoteAddr).stalled
}

// Stall stalls all connections but that of except, and returns their number.
func (c *Connections) Stall(except string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := 0
	for address, o := range c.open {
		if address != except && !o.done {
			o.done = true
			close(o.stalled)
			n++
		}
	}
	return n
}

// ConnState is to be set as http.Server.ConnState, so that a new connection from a port that a stalled one used
// is not taken for it.
func (c *Connections) ConnState(n net.Conn, s http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch s {
	case http.StateNew:
		delete(c.open, n.RemoteAddr().String())
		c.entry(n.RemoteAddr().String())
	case http.StateClosed, http.StateHijacked:
		delete(c.open, n.RemoteAddr().String())
	}
}

func (c *Connections) entry(address string) *connection {
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

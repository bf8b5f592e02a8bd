package clientlimit

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/internal/bytebudget"
)

// phase is what a connection is doing. Connections in lower phases are closed first.
type phase int

const (
	// refused connections have got their last response.
	refused phase = iota
	// receiving connections have sent a part of a request's headers, or nothing yet.
	receiving
	// uploading connections have sent a part of a request's body.
	uploading
	// idle connections have got the answer to their last request.
	idle
	// running connections have sent a whole request.
	running
	phaseCount
)

// Guard bounds the connections of a listener.
type Guard struct {
	limits      func() Limits
	memory      *bytebudget.Budget
	descriptors int
	log         log.Interface
	refusals    *refusals

	// draining is set once connections are closed after the response that they carry.
	draining atomic.Bool

	mutex sync.Mutex
	// phases has the connections in each phase, the oldest in front.
	phases [phaseCount]list.List
	// used is the number of descriptors that are in use or promised.
	used int
}

// New returns a guard with the limits in force, the memory for connections and headers, and the number of descriptors for connections and
// the calls that they need.
func New(limits func() Limits, memory *bytebudget.Budget, descriptors int, l log.Interface) *Guard {
	return &Guard{limits: limits, memory: memory, descriptors: descriptors, log: l, refusals: newRefusals()}
}

// cost returns the number of descriptors of a connection in the phase. All but idle ones may need another one for a server.
func (p phase) cost() int {
	if p == idle {
		return 1
	}
	return 2
}

// admit adds a new connection, for which others may have to be closed, and reports whether there is room for it.
func (g *Guard) admit(c *Conn) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for g.used+receiving.cost() > g.descriptors {
		if !g.evict(ReasonDescriptors, nil) {
			return false
		}
	}
	if !g.charge(c, connectionBytes) {
		return false
	}
	c.phase, c.since = receiving, time.Now()
	c.element = g.phases[receiving].PushBack(c)
	g.used += receiving.cost()
	return true
}

// charge takes memory for a connection, for which others may have to be closed. The caller holds the lock.
func (g *Guard) charge(c *Conn, n int64) bool {
	for !g.memory.TryTake(n) {
		if !g.evict(ReasonMemory, c) {
			return false
		}
	}
	c.charged += n
	return true
}

// evict closes the connection that comes first, other than the given one, and reports whether there was one. The caller holds the lock.
func (g *Guard) evict(reason Reason, other *Conn) bool {
	now := time.Now()
	for p := refused; p <= idle; p++ {
		for e := g.phases[p].Front(); e != nil; e = e.Next() {
			c := e.Value.(*Conn)
			if c == other || p == uploading && now.Sub(c.since) < minBlockedTime {
				continue
			}
			g.end(c, reason)
			return true
		}
	}
	return g.evictSlowest(reason)
}

// evictSlowest closes the connection whose write has been blocked for the longest time. The caller holds the lock.
func (g *Guard) evictSlowest(reason Reason) bool {
	var slowest *Conn
	longest := minBlockedTime
	for e := g.phases[running].Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if blocked := c.blockedFor(); blocked >= longest {
			slowest, longest = c, blocked
		}
	}
	if slowest == nil {
		return false
	}
	g.end(slowest, reason)
	return true
}

// end closes a connection. The caller holds the lock.
func (g *Guard) end(c *Conn, reason Reason) {
	g.refusals.add(reason, c.RemoteAddr().String())
	g.remove(c)
	_ = c.Conn.Close() // a connection that is broken already
}

// remove ends the accounting of a connection. The caller holds the lock.
func (g *Guard) remove(c *Conn) {
	if c.element == nil {
		return
	}
	g.phases[c.phase].Remove(c.element)
	g.used -= c.phase.cost()
	c.element = nil
	g.memory.Return(c.charged)
	c.charged = 0
}

// move puts a connection into another phase.
func (g *Guard) move(c *Conn, p phase) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if c.element == nil || c.phase == p || c.phase == refused {
		return
	}
	g.phases[c.phase].Remove(c.element)
	g.used += p.cost() - c.phase.cost()
	c.phase, c.since, c.expired = p, time.Now(), false
	c.began = c.began && p != idle
	c.element = g.phases[p].PushBack(c)
	if p == idle {
		g.memory.Return(c.charged - connectionBytes)
		c.charged = connectionBytes
	}
}

// ReclaimBody closes the connection with the oldest incomplete body, and reports whether there was one.
func (g *Guard) ReclaimBody() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	e := g.phases[uploading].Front()
	if e == nil {
		return false
	}
	c := e.Value.(*Conn)
	if time.Since(c.since) < minBlockedTime {
		return false
	}
	g.end(c, ReasonSlowBody)
	return true
}

// ReclaimAnswer closes the connection that has not read its answer for the longest time, and reports whether there was one.
func (g *Guard) ReclaimAnswer() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.evictSlowest(ReasonSlowReader)
}

// Reclaim closes the connection that comes first, and reports whether there was one.
func (g *Guard) Reclaim() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.evict(ReasonMemory, nil)
}

// ConnState must be set as http.Server.ConnState.
func (g *Guard) ConnState(n net.Conn, state http.ConnState) {
	c, ok := n.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.reading.Store(false)
		g.move(c, running)
	case http.StateIdle:
		c.headerBytes, c.headerLines = 0, 0
		c.answered = true
		c.reading.Store(true)
		g.move(c, idle)
	}
}

// Run closes expired connections and logs refusals until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.sweep()
			g.refusals.log(g.log)
		case <-ctx.Done():
			return
		}
	}
}

// sweep closes the connections that had expired at the last sweep and still have, and marks those that have expired.
func (g *Guard) sweep() {
	limits := g.limits()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sweepPhase(receiving, limits.HeaderTimeout, ReasonHeaderTimeout)
	g.sweepPhase(idle, limits.IdleTimeout, ReasonIdle)
	var next *list.Element
	for e := g.phases[running].Front(); e != nil; e = next {
		next = e.Next()
		if c := e.Value.(*Conn); limits.WriteStall > 0 && c.blockedFor() > limits.WriteStall {
			g.end(c, ReasonSlowReader)
		}
	}
}

// sweepPhase sweeps the connections of a phase. The caller holds the lock.
func (g *Guard) sweepPhase(p phase, timeout time.Duration, reason Reason) {
	if timeout <= 0 {
		return
	}
	now := time.Now()
	var next *list.Element
	for e := g.phases[p].Front(); e != nil; e = next {
		next = e.Next()
		c := e.Value.(*Conn)
		switch {
		case now.Sub(c.since) < timeout:
			return // the rest is younger
		case c.ending.Load():
		case c.expired && p == idle:
			g.refusals.add(reason, c.RemoteAddr().String())
			g.endUnused(c)
		case c.expired:
			g.end(c, reason)
		default:
			c.expired = true
		}
	}
}

// WriteMetrics writes the numbers of connections and refusals.
func (g *Guard) WriteMetrics(w io.Writer) {
	g.mutex.Lock()
	connections := 0
	for i := range g.phases {
		connections += g.phases[i].Len()
	}
	g.mutex.Unlock()
	metrics.WriteGaugeUint64(w, "poplarwinch_client_connections", uint64(connections))
	metrics.WriteGaugeUint64(w, "poplarwinch_client_connection_memory_bytes", uint64(max(g.memory.Used(), 0)))
	g.refusals.write(w)
}

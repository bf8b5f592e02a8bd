package clientlimit

import "time"

// unusedTime is the time after which a connection that has sent nothing counts as idle.
const unusedTime = 5 * time.Second

// CloseIdle closes the connections that wait for a further request, and from now on each one after its response. One on which a request
// has begun to arrive stays open until that is answered: the server's own notion of an idle connection includes those whose request was
// read and is not parsed yet.
func (g *Guard) CloseIdle() {
	g.draining.Store(true)
	g.closeUnused(unusedTime)
}

// CloseUnused does the same, and also closes the connections that have sent nothing yet.
func (g *Guard) CloseUnused() {
	g.draining.Store(true)
	g.closeUnused(0)
}

// Requests returns the number of connections on which a request is arriving, running or being answered, or whose last answer is still read.
func (g *Guard) Requests() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := g.phases[running].Len() + g.phases[uploading].Len() + g.phases[refused].Len()
	for e := g.phases[receiving].Front(); e != nil; e = e.Next() {
		if e.Value.(*Conn).began {
			count++
		}
	}
	return count
}

// closeUnused closes the idle connections, and those that have sent nothing for a time.
func (g *Guard) closeUnused(age time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for e := g.phases[idle].Front(); e != nil; e = e.Next() {
		g.endUnused(e.Value.(*Conn))
	}
	for e := g.phases[receiving].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); !c.began && time.Since(c.since) >= age {
			g.endUnused(c)
		}
	}
}

// endUnused makes the goroutine that reads from a connection close it, unless a request has begun to arrive. The caller holds the lock.
func (g *Guard) endUnused(c *Conn) {
	if c.began {
		return
	}
	c.ending.Store(true)
	_ = c.Conn.SetReadDeadline(time.Now()) // a connection that is broken already
}

// begin records the first byte of a request on a connection. It prevails over a close that has just been decided.
func (g *Guard) begin(c *Conn) {
	g.move(c, receiving)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	c.began = true
	if c.ending.Swap(false) {
		_ = c.Conn.SetReadDeadline(time.Time{}) // a connection that is broken already
	}
}

package fault

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Gate applies faults to the requests of one emulator.
type Gate struct {
	clock             *clock.Clock
	rateLimitResponse Response
	restore           func(clock.Millis)
	ctx               context.Context
	cancel            context.CancelFunc

	mutex         sync.Mutex
	random        *rand.Rand
	faults        Faults
	affectedCount int
	limiters      map[Class]*limiter
	record        Record
	// open and stalled are sets of remote addresses, which identify connections.
	open, stalled map[string]bool
}

// NewGate returns a gate without faults.
func NewGate(opts ...Option) *Gate {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gate{
		clock: clock.System(), rateLimitResponse: Response{Status: http.StatusTooManyRequests}, restore: func(clock.Millis) {},
		ctx: ctx, cancel: cancel, random: rand.New(rand.NewPCG(1, 1)), limiters: map[Class]*limiter{Reads: {}, Writes: {}},
		open: map[string]bool{}, stalled: map[string]bool{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Close aborts all delayed and unanswered requests.
func (g *Gate) Close() { g.cancel() }

// Set replaces the faults.
func (g *Gate) Set(f Faults) {
	g.mutex.Lock()
	g.faults, g.affectedCount = f, 0
	// The token buckets start empty, so that a rate limit is effective from the first request.
	for _, l := range g.limiters {
		*l = limiter{last: g.clock.Now()}
	}
	clear(g.stalled)
	if f.StallConnections {
		for address := range g.open {
			g.stalled[address] = true
		}
	}
	g.mutex.Unlock()
	if f.Restore > 0 {
		g.restore(g.clock.Now() - f.Restore)
	}
}

// Record returns the request counts since the start.
func (g *Gate) Record() Record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.record
}

// Stale returns the age of the state that reads return unless they request consistency.
func (g *Gate) Stale() clock.Millis {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.faults.Stale
}

// ServeControl serves PUT /faults and GET /record and reports whether the request was one of them.
func (g *Gate) ServeControl(w http.ResponseWriter, r *http.Request) bool {
	switch r.Method + " " + r.URL.Path {
	case "PUT /faults":
		var f Faults
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return true
		}
		g.Set(f)
		w.WriteHeader(http.StatusNoContent)
	case "GET /record":
		w.Header().Set("Content-Type", "application/json")
		// Encoding fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(g.Record())
	default:
		return false
	}
	return true
}

// OutageActive reports whether an outage is set, for responses that continue after Serve.
func (g *Gate) OutageActive() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.faults.Outage != ""
}

// Closed reports whether the gate has been closed.
func (g *Gate) Closed() bool { return g.ctx.Err() != nil }

// Serve reads the body of r, runs effect and sends its result, subject to the faults.
func (g *Gate) Serve(w http.ResponseWriter, r *http.Request, class func(body []byte) Class, effect func(body []byte) Response) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// A partially received request has no effect.
		panic(http.ErrAbortHandler)
	}
	c := class(body)
	f, stalled, allowed := g.admit(r.RemoteAddr, c)
	switch {
	case stalled || f.Outage == Silent:
		g.hang(r)
	case f.Outage == Unavailable:
		Response{Status: http.StatusServiceUnavailable}.write(w)
		return
	case !allowed:
		g.rateLimitResponse.write(w)
		return
	}
	// The delays do not depend on the client's connection: a delayed write takes effect even if the client disconnects.
	if g.clock.Sleep(g.ctx, f.DelayBefore) != nil {
		panic(http.ErrAbortHandler)
	}
	response := effect(body)
	if g.clock.Sleep(g.ctx, f.DelayAfter) != nil || f.DropReply {
		panic(http.ErrAbortHandler)
	}
	response.write(w)
}

// admit counts a request and returns the faults that apply to it, whether its connection is stalled and whether the
// rate limit allows it.
func (g *Gate) admit(address string, c Class) (f Faults, stalled, allowed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.open[address] = true
	if c == Reads {
		g.record.Reads++
	} else {
		g.record.Writes++
	}
	perSecond := map[Class]float64{Reads: g.faults.ReadsPerSecond, Writes: g.faults.WritesPerSecond}[c]
	allowed = g.limiters[c].take(g.clock.Now(), perSecond)
	if !allowed {
		g.record.Limited++
	}
	f = g.faults
	if f.AppliesTo != "" && f.AppliesTo != c || f.Limit > 0 && g.affectedCount >= f.Limit ||
		f.ShareOfRequests > 0 && g.random.Float64() >= f.ShareOfRequests {
		f = Faults{}
	} else {
		g.affectedCount++
	}
	return f, g.stalled[address], allowed
}

// hang leaves a request unanswered until the client disconnects or the gate is closed, and aborts it.
func (g *Gate) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-g.ctx.Done():
	}
	g.mutex.Lock()
	// The system may assign the port to a new connection.
	delete(g.open, r.RemoteAddr)
	delete(g.stalled, r.RemoteAddr)
	g.mutex.Unlock()
	panic(http.ErrAbortHandler)
}

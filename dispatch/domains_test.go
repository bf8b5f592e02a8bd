package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// entryLapse is the time without heartbeats after which the entry of a server lapses.
	entryLapse = 3600 * time.Millisecond
	// serviceTime is the time for which a server runs a request.
	serviceTime = 60 * time.Millisecond
)

// layout is how the servers of a service are spread, and how they come back after a crash.
type layout struct {
	service poplarwinch.ServiceName
	domains int
	servers int // in each domain
	back    time.Duration
	// sameID says that a server starts again under its id, and newAddress that it has another address then.
	sameID, newAddress bool
	// silent says that probes of servers that are down or cut off get no answer at all.
	silent bool
}

// String names the layout in a test.
func (l layout) String() string {
	return fmt.Sprintf("%d domains of %d, %s, back %s, same id %t, new address %t, silent %t", l.domains, l.servers, l.service, l.back, l.sameID, l.newAddress, l.silent)
}

// domains are servers in several failure domains that crash, or are cut off together.
type domains struct {
	*fixture
	layout layout
	mutex  sync.Mutex
	hosts  []*host
	// isBad reports whether a call crashes the server that begins to run it.
	isBad func(c *dispatch.Call) bool
	// crashes are the times of the crashes by such calls, and arrivals those at which such calls reached servers.
	crashes, arrivals []clock.Millis
	starts            int
}

// host is where one server runs after the other.
type host struct {
	server fleet.Server
	up     bool
	cutOff bool
	// listed says that the entry of the server is in the list.
	listed bool
	// broken is closed when the connections of the server break.
	broken chan struct{}
}

// newDomains replaces the servers of the fixture.
func newDomains(f *fixture, l layout) *domains {
	d := &domains{fixture: f, layout: l, isBad: func(*dispatch.Call) bool { return false }}
	for n := range l.domains * l.servers {
		d.hosts = append(d.hosts, &host{server: fleet.Server{
			Domain: poplarwinch.FailureDomain(fmt.Sprint("domain-", n%l.domains)), Service: l.service, Slots: 16,
		}})
	}
	for _, h := range d.hosts {
		d.start(h)
	}
	f.mutex.Lock()
	f.accepts = d.accept
	f.mutex.Unlock()
	f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) { return d.serve(ctx, c) }
	return d
}

// start starts a server on the host and lists it.
func (d *domains) start(h *host) {
	d.mutex.Lock()
	d.starts++
	if h.server.ID == "" || !d.layout.sameID {
		h.server.ID = poplarwinch.UpstreamID(fmt.Sprint("server-", d.starts))
	}
	if h.server.Address == "" || d.layout.newAddress {
		h.server.Address = fmt.Sprintf("10.0.0.%d:80", d.starts)
	}
	h.server.Boot = int64(d.dispatcher.Now())
	h.up, h.listed, h.broken = true, true, make(chan struct{})
	d.mutex.Unlock()
	d.apply()
}

// apply installs the list of the servers.
func (d *domains) apply() {
	d.mutex.Lock()
	var list []fleet.Server
	for _, h := range d.hosts {
		if h.listed {
			list = append(list, h.server)
		}
	}
	d.mutex.Unlock()
	d.fleet.Apply(list)
}

// accept reports whether a process accepts connections at the address.
func (d *domains) accept(ctx context.Context, s fleet.Server) bool {
	d.mutex.Lock()
	h := d.at(s.Address)
	accepts := h != nil && h.up && !h.cutOff
	d.mutex.Unlock()
	if !accepts && d.layout.silent {
		<-ctx.Done()
	}
	return accepts
}

// at returns the host with the address. The caller holds the lock.
func (d *domains) at(address string) *host {
	i := slices.IndexFunc(d.hosts, func(h *host) bool { return h.server.Address == address })
	if i < 0 {
		return nil
	}
	return d.hosts[i]
}

// crash ends the server of the host, which starts again after layout.back.
func (d *domains) crash(h *host) {
	d.mutex.Lock()
	if !h.up {
		d.mutex.Unlock()
		return
	}
	h.up = false
	close(h.broken)
	d.crashes = append(d.crashes, d.dispatcher.Now())
	d.mutex.Unlock()
	time.AfterFunc(d.layout.back, func() { d.start(h) })
}

// cut cuts off a failure domain for a time. Entries lapse meanwhile, and come back one after the other once it is over.
func (d *domains) cut(domain int, length time.Duration) {
	for n, h := range d.hosts {
		if n%d.layout.domains != domain%d.layout.domains {
			continue
		}
		d.mutex.Lock()
		h.cutOff = true
		close(h.broken)
		d.mutex.Unlock()
		lapse := time.AfterFunc(entryLapse, func() { d.list(h, false) })
		time.AfterFunc(length, func() {
			lapse.Stop()
			d.mutex.Lock()
			h.cutOff, h.broken = false, make(chan struct{})
			d.mutex.Unlock()
			time.Sleep(time.Duration(n) * 300 * time.Millisecond)
			d.list(h, true)
		})
	}
}

// list changes whether the entry of a server is in the list.
func (d *domains) list(h *host, listed bool) {
	d.mutex.Lock()
	h.listed = listed
	d.mutex.Unlock()
	d.apply()
}

// serve runs a call. Servers that are down or cut off get nothing.
func (d *domains) serve(ctx context.Context, c *dispatch.Call) (*dispatch.Answer, error) {
	d.mutex.Lock()
	h := d.at(c.Server.Address)
	switch {
	case h == nil || !h.up || h.cutOff:
		d.mutex.Unlock()
		return failure(dispatch.FailureNotSent)
	case h.server.ID != c.Server.ID:
		d.mutex.Unlock()
		return failure(dispatch.FailureReplaced)
	}
	broken, bad := h.broken, d.isBad(c)
	if bad {
		d.arrivals = append(d.arrivals, d.dispatcher.Now())
	}
	d.mutex.Unlock()
	select {
	case <-broken:
		return failure(dispatch.FailureBroken)
	case <-ctx.Done():
		return failure(dispatch.FailureBroken)
	case <-time.After(serviceTime):
	}
	if bad {
		d.crash(h)
		return failure(dispatch.FailureBroken)
	}
	return complete(http.StatusOK, "id: 1\ndata: x\n\n")
}

// call returns request number n of the layout's service: a prompt with the parts for engines, or a call that is named by the parts.
func (d *domains) call(n int, parts ...poplarwinch.PromptPartID) *dispatch.Request {
	if d.layout.service == "pool" {
		r := d.request(route.KindStreaming)
		r.Model, r.SharedParts = "m", parts
		r.Fingerprint = quarantine.FingerprintOf("c", "/x/", fmt.Append(nil, n))
		return r
	}
	r := d.request(route.KindIdempotent)
	r.Fingerprint = quarantine.FingerprintOf("c", "/x/", fmt.Append(nil, parts))
	return r
}

// load sends requests at intervals, without waiting for their ends, and returns once all have ended. It returns the number of those that
// were rejected because they, or a part of their prompts, crash servers.
func (d *domains) load(interval, length time.Duration, parts ...poplarwinch.PromptPartID) (blocked int) {
	var wait sync.WaitGroup
	var mutex sync.Mutex
	for n := range int(length / interval) {
		r := d.call(n, parts...)
		wait.Go(func() {
			o := d.run(d.t.Context(), r)
			mutex.Lock()
			defer mutex.Unlock()
			if o.err != nil && strings.HasPrefix(o.err.Message, "servers crash") {
				blocked++
			}
		})
		time.Sleep(interval)
	}
	wait.Wait()
	return blocked
}

// lateArrivals returns the number of calls that crash servers and reached one later than a time after a crash, which counts from 1.
func (d *domains) lateArrivals(crash int, after clock.Millis) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := 0
	for _, at := range d.arrivals {
		if len(d.crashes) >= crash && at > d.crashes[crash-1]+after {
			count++
		}
	}
	return count
}

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

const (
	poolServers  = 9
	plainServers = 3
	// restartDelay is the time from the end of a process, or the crash of a server, to the next start.
	restartDelay       = 500 * time.Millisecond
	serverRestartDelay = 2500 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 8 * time.Second
	// readyTimeout bounds the wait until all instances are ready.
	readyTimeout = 20 * time.Second
	// leavingTime is the time for which a leaving server goes on serving.
	leavingTime = 5 * time.Second
)

// zones are the failure domains.
var zones = []string{"north", "middle", "south"}

// deployment is the store, the servers and the instances of one run.
type deployment struct {
	store     *emulator.Store
	record    *emulator.Record
	address   string
	instances []*instance
	started   time.Time

	mutex   sync.Mutex
	servers map[string]*emulator.Server
	faults  emulator.Faults
	// named limits and hanging servers, by id.
	limitOf map[string]float64
	hanging map[string]bool
	// named is the number of servers that were started.
	named  int
	closed bool
	events []event
	// limits has the limits that servers named.
	limits []limitEvent
	// crashes has the times at which servers crashed, and faultsEndedAt the end of all faults.
	crashes       map[string]time.Time
	faultsEndedAt time.Time
	// leaving has the times at which servers were marked as leaving.
	leaving map[string]time.Time
	// evacuations are those of the run, one at a time, guarded by evacuationMutex.
	evacuationMutex sync.Mutex
	evacuations     []evacuation
	operator
}

func newDeployment(a *arguments, directory string) (*deployment, error) {
	d := &deployment{
		store: emulator.NewStore(), record: &emulator.Record{}, started: time.Now(), servers: map[string]*emulator.Server{}, leaving: map[string]time.Time{},
		crashes: map[string]time.Time{}, limitOf: map[string]float64{}, hanging: map[string]bool{},
	}
	network := fmt.Sprintf("127.%d.%d", 60+a.Seed%60, a.Seed/60%250)
	l, err := net.Listen("tcp", network+".1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	d.address = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	d.written = map[rowID]string{}
	d.configure(1)
	for n := range poolServers + plainServers {
		service := "pool"
		if n >= poolServers {
			service = "bookings"
		}
		d.startServer(service, zones[n%len(zones)])
	}
	seeds := []string{network + ".10", network + ".11", network + ".12"}
	for n := range a.Instances {
		p, err := newInstance(emulator.Instance{
			Name: fmt.Sprintf("instance-%d", n), Zone: zones[n%len(zones)], IP: fmt.Sprintf("%s.%d", network, 10+n), Seeds: seeds, Store: d.address,
			Regions: map[string]string{"north": "inland", "middle": "inland", "south": "coast"},
		}, a.Binary, directory)
		if err != nil {
			d.close()
			return nil, err
		}
		d.instances = append(d.instances, p)
	}
	return d, nil
}

// startServer starts a server and lists it.
func (d *deployment) startServer(service, zone string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return
	}
	d.named++
	id := fmt.Sprintf("%s-%d", service, d.named)
	s, err := emulator.StartServer(id, service, zone, "127.0.0.1", d.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	s.SetFaults(d.faultsOf(s))
	s.SetCold(emulator.ColdStart)
	d.servers[id] = s
	d.write(emulator.ServersTable, id, s.Entry(false))
}

// faultsOf returns the faults of a server: those of all, and its own. The caller holds the lock.
func (d *deployment) faultsOf(s *emulator.Server) emulator.Faults {
	f := d.faults
	f.Limit, f.Silent = d.limitOf[s.ID], d.hanging[s.ID]
	f.OnCrash = func() { d.replaceCrashed(s) }
	return f
}

// replaceCrashed removes a crashed server from the list and starts another one after a while.
func (d *deployment) replaceCrashed(s *emulator.Server) {
	d.log(eventServer, "crash of "+s.ID)
	d.mutex.Lock()
	d.crashes[s.ID] = s.ClosedAt()
	d.mutex.Unlock()
	time.AfterFunc(serverRestartDelay, func() {
		d.mutex.Lock()
		delete(d.servers, s.ID)
		d.mutex.Unlock()
		d.write(emulator.ServersTable, s.ID, "")
		d.startServer(s.Service, s.Zone)
	})
}

// crashServer ends a server without notice.
func (d *deployment) crashServer(s *emulator.Server) {
	s.Close()
	d.replaceCrashed(s)
}

// removeServer lets a server leave and starts another one.
func (d *deployment) removeServer(s *emulator.Server) {
	d.startServer(s.Service, s.Zone)
	d.mutex.Lock()
	d.leaving[s.ID] = time.Now()
	delete(d.servers, s.ID)
	d.mutex.Unlock()
	d.write(emulator.ServersTable, s.ID, s.Entry(true))
	time.AfterFunc(leavingTime, func() {
		d.write(emulator.ServersTable, s.ID, "")
		time.AfterFunc(leavingTime, s.Close)
	})
}

// live returns the servers that run, in no particular order.
func (d *deployment) live() []*emulator.Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var list []*emulator.Server
	for _, s := range d.servers {
		if s.ClosedAt().IsZero() {
			list = append(list, s)
		}
	}
	return list
}

// setFaults changes the faults of all servers, also of those that start later, or the own ones of single servers.
func (d *deployment) setFaults(change func(f *emulator.Faults)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	change(&d.faults)
	for _, s := range d.servers {
		s.SetFaults(d.faultsOf(s))
	}
}

// hasLimit reports whether the server names a limit.
func (d *deployment) hasLimit(s *emulator.Server) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.limitOf[s.ID] > 0
}

// endFaults ends all faults that last.
func (d *deployment) endFaults() {
	d.setFaults(func(f *emulator.Faults) {
		*f = emulator.Faults{}
		d.faultsEndedAt = time.Now()
		clear(d.limitOf)
		clear(d.hanging)
		for i := range d.limits {
			if now := time.Now(); d.limits[i].until.After(now) {
				d.limits[i].until = now
			}
		}
	})
	for _, zone := range zones {
		d.endEvacuation(zone)
	}
	d.store.SetUnavailable(false)
	d.store.SetSilent(false)
	d.store.SetResetting(false)
	d.log(eventOther, "all faults have ended")
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		ready := 0
		for _, p := range d.instances {
			if isReady(ctx, p.ReadinessURL()) {
				ready++
			}
		}
		if ready == len(d.instances) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the instances did not become ready")
}

// isReady asks an instance like the load balancer.
func isReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) close() {
	d.mutex.Lock()
	d.closed = true
	servers := d.servers
	d.mutex.Unlock()
	for _, p := range d.instances {
		p.close()
	}
	for _, s := range servers {
		s.Close()
	}
}

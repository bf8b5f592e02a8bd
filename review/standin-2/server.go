//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

const (
	// workTime is the time for which a server works on a request.
	workTime = 60 * time.Millisecond
	// events is the number of events of a stream, and eventInterval the time between two.
	events        = 38
	eventInterval = 60 * time.Millisecond
	// slots is the number of requests on which a server works at a time.
	slots = 16
	// backAfter is the time from the crash of a server until a new one has taken its place, and removedAfter that until its entry is
	// removed: three report intervals of 1.2 s.
	backAfter    = 3 * time.Second
	removedAfter = 3600 * time.Millisecond
)

// pool is the servers of a service. Crashed ones are replaced.
type pool struct {
	d       *deployment
	service string
	// behave returns how a server treats a request.
	behave func(r *http.Request, body []byte) behaviour

	mutex    sync.Mutex
	started  int
	servers  map[string]*server
	arrivals []arrival
	crashes  []crash
	closed   bool
}

// behaviour is how a server treats one request.
type behaviour struct {
	// crashAfter is the time after the beginning of the run at which the server crashes; zero for sound requests.
	crashAfter time.Duration
	// crashAfterFirst is the time after the first event of a stream at which the server crashes; zero for sound requests.
	crashAfterFirst time.Duration
}

// arrival is a request that a server began to run.
type arrival struct {
	at                                           time.Time
	server, attempt, method, target, body, parts string
}

// crash is the end of a server.
type crash struct {
	at              time.Time
	server, attempt string
}

type server struct {
	pool     *pool
	id, zone string
	listener net.Listener
	http     *http.Server
	work     chan struct{}

	mutex       sync.Mutex
	connections map[net.Conn]bool
	down        bool
}

func (d *deployment) newPool(service string, zones []string, each int, behave func(r *http.Request, body []byte) behaviour) (*pool, error) {
	p := &pool{d: d, service: service, behave: behave, servers: map[string]*server{}}
	for _, zone := range zones {
		for range each {
			if err := p.start(zone); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

func (p *pool) start(zone string) error {
	l, err := net.Listen("tcp", p.d.network+".2:0")
	if err != nil {
		return err
	}
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		return l.Close()
	}
	p.started++
	s := &server{
		pool: p, id: fmt.Sprintf("%s-%d", p.service, p.started), zone: zone, listener: l, work: make(chan struct{}, slots), connections: map[net.Conn]bool{},
	}
	p.servers[s.id] = s
	p.mutex.Unlock()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, ConnState: s.track}
	go func() { _ = s.http.Serve(l) }()
	p.d.record.log("server %s starts at %s in %s", s.id, l.Addr(), zone)
	p.d.store.Put(emulator.ServersTable, s.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":1,"slots":%d,"state":"ready","born":%d,"cold_remaining_ms":0,"sequence":1}`,
		p.service, l.Addr().String(), zone, slots, time.Now().UnixMilli()))
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if state == http.StateNew {
		s.connections[c] = true
	}
	if state == http.StateClosed {
		delete(s.connections, c)
	}
}

// crash ends the server: it resets its connections and refuses new ones. Another one starts after backAfter.
func (s *server) crash(attempt string) {
	s.mutex.Lock()
	if s.down {
		s.mutex.Unlock()
		return
	}
	s.down = true
	for c := range s.connections {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	s.mutex.Unlock()
	_ = s.http.Close()
	p := s.pool
	p.mutex.Lock()
	p.crashes = append(p.crashes, crash{time.Now(), s.id, attempt})
	p.mutex.Unlock()
	p.d.record.log("server %s crashes while it runs %s", s.id, attempt)
	time.AfterFunc(backAfter, func() { _ = p.start(s.zone) })
	time.AfterFunc(removedAfter, func() { p.d.store.Put(emulator.ServersTable, s.id, "") })
}

func (s *server) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// ServeHTTP runs a request as the pages say: 421 for other servers' requests, 503 with Not-Executed without a free slot.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.work <- struct{}{}:
		defer func() { <-s.work }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.pool.mutex.Lock()
	s.pool.arrivals = append(s.pool.arrivals, arrival{time.Now(), s.id, attempt, r.Method, r.RequestURI, string(body), r.Header.Get("Prompt-Prefix")})
	s.pool.mutex.Unlock()
	b := s.pool.behave(r, body)
	s.pool.d.record.log("server %s begins to run %s", s.id, attempt)
	for spent := time.Duration(0); spent < max(workTime, b.crashAfter); spent += 5 * time.Millisecond {
		time.Sleep(5 * time.Millisecond)
		if s.isDown() {
			return
		}
		if r.Context().Err() != nil {
			s.pool.d.record.log("server %s drops %s, whose connection is closed", s.id, attempt)
			return
		}
	}
	if b.crashAfter > 0 {
		s.crash(attempt)
		return
	}
	w.Header().Set("Server-Seal", s.id)
	if r.Header.Get("Prompt-Prefix") == "" {
		_, _ = io.WriteString(w, "answer to "+attempt+strings.Repeat(".", 700))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero without one
	begun := time.Now()
	for n := last + 1; n <= events && !s.isDown(); n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, attempt); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
		if b.crashAfterFirst > 0 && time.Since(begun) >= b.crashAfterFirst {
			s.crash(attempt)
		}
	}
}

func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	list := p.servers
	p.mutex.Unlock()
	for _, s := range list {
		_ = s.http.Close()
	}
}

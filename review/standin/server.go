//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstEventDelay = 60 * time.Millisecond
	eventInterval   = 30 * time.Millisecond
	// plainWork is the time that a plain server works on a request after it began.
	plainWork = 60 * time.Millisecond
	// heartbeat is the time between two writes of a server's row.
	heartbeat = 1200 * time.Millisecond
	// restartDelay is the time after a crash until the server is back.
	restartDelay = 3 * time.Second
	// missedHeartbeats is the number of heartbeats after which the store removes a row.
	missedHeartbeats = 3
)

// server is one server, at an address that outlives crashes.
type server struct {
	world   *world
	service string
	zone    string
	address string
	// events is the number of events of a stream; zero for a plain service.
	events int
	// badQuery and badPath are the query and the path of the requests that crash a plain server when it begins to run them; empty for
	// none.
	badQuery string
	badPath  string
	// dark says that a crash takes the server's machine along: its port is closed, but its connections only fall silent until it is back.
	dark bool
	// badPart is the part of prompts that crashes the server when it begins to write an answer on it; empty for none.
	badPart string

	mutex sync.Mutex
	// process is the running process, or nil.
	process *process
	boots   int
	stopped bool
}

// process is one boot of a server.
type process struct {
	server      *server
	id          string
	born        time.Time
	listener    net.Listener
	http        *http.Server
	ctx         context.Context
	end         context.CancelFunc
	mutex       sync.Mutex
	connections map[*net.TCPConn]bool
}

// startServer starts a server of the model service or another one; change sets what differs from a sound one.
func (w *world) startServer(n int, zone string, change func(s *server)) error {
	s := &server{world: w, service: modelService, zone: zone, address: fmt.Sprintf("%s.%d:8080", w.network, 100+n), events: 12}
	change(s)
	w.servers = append(w.servers, s)
	return s.start()
}

// start starts a process of the server.
func (s *server) start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.boots++
	p := &process{server: s, id: fmt.Sprintf("i-%s-%d", strings.ReplaceAll(s.address, ":", "-"), s.boots), born: time.Now(), listener: l, connections: map[*net.TCPConn]bool{}}
	p.ctx, p.end = context.WithCancel(context.Background())
	p.http = &http.Server{Handler: p, ConnState: p.track}
	s.process = p
	go func() { _ = p.http.Serve(l) }()
	go p.beat()
	return nil
}

// stop ends the server for good.
func (s *server) stop() {
	s.mutex.Lock()
	s.stopped = true
	p := s.process
	s.mutex.Unlock()
	if p != nil {
		p.reset()
	}
}

// beat writes the process's row until its end, and removes it like the store after some missed heartbeats.
func (p *process) beat() {
	for n := 1; p.ctx.Err() == nil; n++ {
		p.server.world.store.put("servers", p.id, fmt.Sprintf(
			`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"stage":"unified","models":[%s],"sequence":%d,"born":%d}`,
			p.server.service, p.server.address, p.server.zone, p.server.world.modelList(), n, p.born.UnixMilli()))
		select {
		case <-p.ctx.Done():
		case <-time.After(heartbeat):
		}
	}
	time.Sleep(missedHeartbeats * heartbeat)
	p.server.world.store.put("servers", p.id, "")
}

// modelList returns the models that a server has loaded, as its row lists them.
func (w *world) modelList() string {
	list := make([]string, len(w.models))
	for n, name := range w.models {
		list[n] = fmt.Sprintf(`{"name":%q,"version":1,"adapters":[]}`, name)
	}
	return strings.Join(list, ",")
}

func (p *process) track(c net.Conn, state http.ConnState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch state {
	case http.StateNew:
		p.connections[c.(*net.TCPConn)] = true
	case http.StateClosed:
		delete(p.connections, c.(*net.TCPConn))
	}
}

// reset ends the process and resets its connections.
func (p *process) reset() {
	p.end()
	p.mutex.Lock()
	for c := range p.connections {
		_ = c.SetLinger(0)
	}
	p.mutex.Unlock()
	_ = p.http.Close()
}

// crash ends the process; another one starts after a while.
func (p *process) crash(attempt string) {
	if p.ctx.Err() != nil {
		return
	}
	p.server.world.record.crashed(attempt, p.id)
	if p.server.dark {
		p.end()
		_ = p.listener.Close()
	} else {
		p.reset()
	}
	time.AfterFunc(restartDelay, func() {
		p.reset()
		if err := p.server.start(); err != nil {
			p.server.world.record.note("server at %s does not start: %v", p.server.address, err)
		}
	})
}

// ServeHTTP answers a request, or crashes on a bad one.
func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"free":405000}`)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || p.server.events > 0 && !p.wait(r, firstEventDelay) {
		return
	}
	p.server.world.record.ran(attempt, p.id)
	if p.server.events == 0 {
		p.answerPlain(w, r, attempt)
		return
	}
	if p.server.badPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), p.server.badPart+":") {
		p.crash(attempt)
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Attempt-Id", attempt)
	header.Set("Server-Seal", p.id)
	header.Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for n := first; n <= p.server.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, attempt, n); err != nil || control.Flush() != nil {
			return
		}
		if n < p.server.events && !p.wait(r, eventInterval) {
			panic(http.ErrAbortHandler)
		}
	}
	p.server.world.record.note("server %s completes %s", p.id, attempt)
}

// answerPlain answers a request to a plain service, or crashes on it.
func (p *process) answerPlain(w http.ResponseWriter, r *http.Request, attempt string) {
	if p.server.badQuery != "" && r.URL.RawQuery == p.server.badQuery || r.URL.Path == p.server.badPath {
		p.crash(attempt)
		p.fallSilent(r)
		panic(http.ErrAbortHandler)
	}
	if !p.wait(r, plainWork) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Server-Seal", p.id)
	_, _ = io.WriteString(w, "answer to "+attempt)
	p.server.world.record.note("server %s completes %s", p.id, attempt)
}

// wait waits and reports whether the caller and the process are still there. A process whose machine is dark says nothing more.
func (p *process) wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
	case <-p.ctx.Done():
		p.fallSilent(r)
	}
	return false
}

// fallSilent keeps the connection of a request open without a word while the machine is dark.
func (p *process) fallSilent(r *http.Request) {
	if p.server.dark {
		<-r.Context().Done()
	}
}

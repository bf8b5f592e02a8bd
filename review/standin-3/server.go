//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval of status reports of the settings; an entry goes after three of them.
	heartbeat = 1200 * time.Millisecond
	// slots is the number of requests that a server runs at once.
	slots = 16
	// events is the number of events of a stream.
	events = 12
	// firstEvent and eventInterval are the times to the first event of a stream and between two of them.
	firstEvent, eventInterval = 60 * time.Millisecond, 60 * time.Millisecond
	// plainTime is the time that a plain request takes.
	plainTime = 60 * time.Millisecond
)

// server is a server of a service. After a crash it starts again.
type server struct {
	world         *world
	service, zone string
	address       string
	models        []string
	// back is the time after a crash until the server starts again, and sameID says that it keeps its id.
	back   time.Duration
	sameID bool
	// limit is the value of Server-Limit; empty for none. many says that any number of requests run at once.
	limit string
	many  bool
	// crashes reports whether a request crashes the server that begins to run it.
	crashes func(r *http.Request) bool
	// runsFor is the time for which a server runs such a request before it crashes.
	runsFor time.Duration
	// crashed is called after a crash, and arrived when a request arrives.
	crashed func(s *server, r *http.Request)
	arrived func(s *server, r *http.Request)

	mutex       sync.Mutex
	id          string
	boot        int
	born        int64
	sequence    int
	listener    net.Listener
	connections map[*net.TCPConn]bool
	running     int
}

// addServer starts a server on an address of its own.
func (w *world) addServer(s *server) error {
	w.mutex.Lock()
	w.hosts++
	s.world = w
	s.address = fmt.Sprintf("%s.%d:8080", w.network, w.hosts)
	w.servers = append(w.servers, s)
	w.mutex.Unlock()
	return s.start()
}

// start starts a boot of the server and registers it.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.boot++
	if s.id == "" || !s.sameID {
		s.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(strings.TrimSuffix(s.address, ":8080"), ".", "-"), s.boot)
	}
	s.listener, s.born, s.sequence, s.connections = listener, time.Now().UnixMilli(), 0, map[*net.TCPConn]bool{}
	boot, id := s.boot, s.id
	s.mutex.Unlock()
	s.register()
	s.world.record.add("server %s of %s in %s starts at %s, boot %d", id, s.service, s.zone, s.address, boot)
	track := func(c net.Conn, state http.ConnState) { s.track(boot, c, state) }
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(boot, w, r) })
	go func() { _ = (&http.Server{Handler: handler, ConnState: track}).Serve(listener) }()
	go s.beat(boot)
	return nil
}

// register writes the entry of the server.
func (s *server) register() {
	s.mutex.Lock()
	var models []string
	for _, m := range s.models {
		models = append(models, fmt.Sprintf(`{"name":%q,"version":1,"adapters":[]}`, m))
	}
	stage := ""
	if len(models) > 0 {
		stage = fmt.Sprintf(`"stage":"unified","models":[%s],`, strings.Join(models, ","))
	}
	id := s.id
	entry := fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,%s"sequence":%d,"born":%d}`,
		s.service, s.address, s.zone, slots, stage, s.sequence, s.born,
	)
	s.mutex.Unlock()
	s.world.store.put("servers", id, entry)
}

// beat lets the entry of a boot go after three intervals of silence, unless a later boot has the same id. The entry changes only when more
// than its sequence does, so that a server that lives writes nothing here.
func (s *server) beat(boot int) {
	s.mutex.Lock()
	id := s.id
	s.mutex.Unlock()
	for s.isUp(boot) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * heartbeat)
	s.mutex.Lock()
	replaced := s.id == id && s.boot != boot
	s.mutex.Unlock()
	if !replaced {
		s.world.store.put("servers", id, "")
		s.world.record.add("the entry of server %s lapses", id)
	}
}

func (s *server) isUp(boot int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.boot == boot && s.listener != nil
}

func (s *server) track(boot int, c net.Conn, state http.ConnState) {
	t, ok := c.(*net.TCPConn)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !ok || boot != s.boot:
	case state == http.StateNew:
		s.connections[t] = true
	case state == http.StateClosed:
		delete(s.connections, t)
	}
}

// crash resets all channels of a boot and starts the server again later.
func (s *server) crash(boot int, r *http.Request) {
	s.mutex.Lock()
	if s.boot != boot || s.listener == nil {
		s.mutex.Unlock()
		return
	}
	id := s.id
	_ = s.listener.Close()
	s.listener = nil
	for c := range s.connections {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	s.mutex.Unlock()
	s.world.record.add("server %s crashes, running request %s", id, r.Header.Get("Attempt-Id"))
	if s.crashed != nil {
		s.crashed(s, r)
	}
	time.AfterFunc(s.back, func() {
		if err := s.start(); err != nil {
			s.world.record.add("server at %s does not start: %v", s.address, err)
		}
	})
}

// serve answers a request, as PROTOCOL.md says.
func (s *server) serve(boot int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" || r.URL.Path == "/-/order" {
		_, _ = io.WriteString(w, `{"free":405000,"tickets":[]}`)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mutex.Lock()
	id, full := s.id, s.running >= slots && !s.many
	s.mutex.Unlock()
	attempt := r.Header.Get("Attempt-Id")
	header := w.Header()
	header.Set("Attempt-Id", attempt)
	if s.limit != "" {
		header.Set("Server-Limit", s.limit)
	}
	switch expected := r.Header.Get("Expected-Instance"); {
	case expected != "" && expected != id:
		header.Set("Instance-Id", id)
		header.Set("At-Server", s.address)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case full:
		header.Set("Not-Executed", "1")
		header.Set("At-Server", s.address)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.arrived != nil {
		s.arrived(s, r)
	}
	s.occupy(1)
	defer s.occupy(-1)
	stream := strings.HasPrefix(r.URL.Path, "/chat/")
	if s.crashes != nil && s.crashes(r) {
		if stream {
			time.Sleep(firstEvent) // it crashes when it begins to write
		}
		time.Sleep(s.runsFor)
		s.crash(boot, r)
		return
	}
	s.world.detail("server %s runs %s", id, attempt)
	if strings.HasPrefix(attempt, soundName) {
		s.world.sound.begin(attempt)
	}
	header.Set("Server-Seal", "seal-"+id)
	if stream {
		s.stream(w, r)
		return
	}
	if pause(r.Context(), plainTime) {
		_, _ = io.WriteString(w, "answer to "+attempt)
	}
}

func (s *server) occupy(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running += n
}

// stream writes a stream of events, from the one after Last-Event-Id on.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for n := first; n <= events; n++ {
		wait := eventInterval
		if n == first {
			wait = firstEvent
		}
		if !pause(r.Context(), wait) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, r.Header.Get("Attempt-Id")); err != nil || control.Flush() != nil {
			return
		}
	}
}

// pause waits and reports whether the caller is still there.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// hasPart reports whether the prompt of a request has a part.
func hasPart(r *http.Request, id string) bool {
	return slices.ContainsFunc(strings.Split(r.Header.Get("Prompt-Prefix"), ","), func(entry string) bool {
		name, _, _ := strings.Cut(entry, ":")
		return name == id
	})
}

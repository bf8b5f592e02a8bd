// Package service emulates a plain service such as bookings or licences. It executes each call that arrives, also
// repeated ones, and counts executions, so that tests can prove that nothing ran twice.
package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// maxBody bounds a call's body.
const maxBody = 64 << 20

// Service is an emulated plain service and an http.Handler. Any method and path but /faults, /record and
// GET /health is a call.
type Service struct {
	config      config
	mux         *http.ServeMux
	connections fault.Connections
	cancel      context.CancelFunc
	ended       <-chan struct{}

	mutex      sync.Mutex
	faults     Faults
	executions []Execution
	refused    int
	down       chan struct{}
	dead       bool
}

// New returns a running service; Close ends its requests.
func New(opts ...Option) *Service {
	c := config{clock: clock.System()}
	for _, o := range opts {
		o(&c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{config: c, cancel: cancel, ended: ctx.Done(), down: make(chan struct{})}
	s.mux = http.NewServeMux()
	fault.Handler[Faults]{Get: s.Faults, Set: s.setFaults}.Register(s.mux)
	s.mux.HandleFunc("GET /record", s.getRecord)
	s.mux.HandleFunc("GET /health", s.getHealth)
	s.mux.HandleFunc("/", s.execute)
	return s
}

// Close aborts requests that hang.
func (s *Service) Close() { s.cancel() }

// Restart revives a dead service; faults and the record are kept.
func (s *Service) Restart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.dead {
		s.dead, s.down = false, make(chan struct{})
	}
}

// ConnState is to be set as http.Server.ConnState; stalling connections relies on it.
func (s *Service) ConnState(n net.Conn, state http.ConnState) { s.connections.ConnState(n, state) }

// ServeHTTP handles calls, /faults and /record.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	down := s.down
	s.mutex.Unlock()
	select {
	case <-down:
		panic(http.ErrAbortHandler)
	case <-s.connections.Stalled(r):
		s.hang(r, down)
	default:
	}
	s.mux.ServeHTTP(w, r)
}

// hang leaves a request unanswered until its connection or the service ends, and aborts it.
func (s *Service) hang(r *http.Request, down <-chan struct{}) {
	// net/http notices a closed connection only after the request body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-down:
	case <-s.ended:
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) getHealth(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

// execute runs one call: it appends an execution to the record and answers with its number.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p := s.plan(data)
	stalled := s.connections.Stalled(r)
	if p.hang {
		s.hang(r, p.down)
	}
	_ = s.config.clock.Sleep(r.Context(), p.delay)
	if p.refuse {
		w.Header().Set("Refused", "true")
		http.Error(w, "refused by a fault switch", http.StatusServiceUnavailable)
		return
	}
	x := s.run(r, len(data))
	// A call that has begun runs to its end, also when the client is gone.
	_ = s.config.clock.Sleep(context.Background(), s.config.duration)
	select {
	case <-stalled:
		s.hang(r, p.down)
	default:
	}
	if p.crash {
		s.stop()
	}
	if p.crash || p.dropReply {
		panic(http.ErrAbortHandler)
	}
	p.reply(w, r.URL.Query(), x)
}

func (s *Service) run(r *http.Request, size int) Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x := Execution{
		Number: len(s.executions) + 1, Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"),
		Body: size, Remote: r.RemoteAddr, At: s.config.clock.Now(),
	}
	s.executions = append(s.executions, x)
	if s.config.executed != nil {
		s.config.executed(x)
	}
	return x
}

func (s *Service) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.dead {
		return
	}
	s.dead = true
	close(s.down)
	if s.config.crash != nil {
		go s.config.crash()
	}
}

// plan holds the faults of one call.
type plan struct {
	refuse, dropReply, truncate, unframed, crash, hang bool
	delay                                              clock.Millis
	down                                               <-chan struct{}
}

func (s *Service) plan(data []byte) plan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := &s.faults
	p := plan{hang: f.Hang, delay: f.Delay, down: s.down}
	if p.hang {
		return p
	}
	if p.refuse = f.Refuse.Take(); p.refuse {
		s.refused++
		return p
	}
	p.crash = f.Crash.Take() || (f.CrashMarker != "" && bytes.Contains(data, []byte(f.CrashMarker)))
	p.dropReply, p.truncate, p.unframed = f.DropReply.Take(), f.Truncate.Take(), f.Unframed.Take()
	return p
}

// reply answers with the execution's number, key and path as JSON. The query parameters "status" and
// "answer-bytes" set the status and the least size of the answer.
func (p plan) reply(w http.ResponseWriter, query url.Values, x Execution) {
	data := fmt.Appendf(nil, `{"execution":%d,"key":%q,"path":%q}`, x.Number, x.Key, x.Path)
	if n, err := strconv.Atoi(query.Get("answer-bytes")); err == nil && n > len(data) {
		data = append(data, bytes.Repeat([]byte{' '}, min(n, maxBody)-len(data))...)
	}
	status := http.StatusOK
	if n, err := strconv.Atoi(query.Get("status")); err == nil && n >= 200 && n <= 599 {
		status = n
	}
	w.Header().Set("Content-Type", "application/json")
	switch {
	case p.truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		w.WriteHeader(status)
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case p.unframed:
		// Transfer-Encoding: identity makes net/http delimit the body by the end of the connection.
		w.Header().Set("Transfer-Encoding", "identity")
		w.WriteHeader(status)
		_, _ = w.Write(data)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		w.WriteHeader(status)
		_, _ = w.Write(data)
	}
}

// Package service emulates a plain service such as bookings or licences. It executes every call that arrives, including
// repeated ones, and counts executions, so that tests can prove that no call ran twice.
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

// maxBodyBytes is the maximum size of the bodies of calls and responses in bytes.
const maxBodyBytes = 64 << 20

// Service is an emulated plain service and an http.Handler. All requests except GET and PUT /faults, GET /record and
// GET /health are calls.
type Service struct {
	config      config
	mux         *http.ServeMux
	connections fault.Connections
	cancel      context.CancelFunc
	closed      <-chan struct{}

	mutex      sync.Mutex
	faults     Faults
	executions []Execution
	refused    int
	stopped    chan struct{}
	isStopped  bool
}

// New returns a running service. Close aborts requests that hang.
func New(opts ...Option) *Service {
	c := config{clock: clock.System()}
	for _, o := range opts {
		o(&c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{config: c, cancel: cancel, closed: ctx.Done(), stopped: make(chan struct{})}
	s.mux = http.NewServeMux()
	fault.Handler[Faults]{Get: s.Faults, Set: s.setFaults}.Register(s.mux)
	s.mux.HandleFunc("GET /record", s.getRecord)
	s.mux.HandleFunc("GET /health", s.getHealth)
	s.mux.HandleFunc("/", s.execute)
	return s
}

// Close aborts requests that hang.
func (s *Service) Close() { s.cancel() }

// Restart restarts a crashed service. Faults and the record are kept.
func (s *Service) Restart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isStopped {
		s.isStopped, s.stopped = false, make(chan struct{})
	}
}

// ConnState must be set as http.Server.ConnState; Faults.StallConnections relies on it.
func (s *Service) ConnState(n net.Conn, state http.ConnState) { s.connections.ConnState(n, state) }

// ServeHTTP serves calls, /faults, /record and /health.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	stopped := s.stopped
	s.mutex.Unlock()
	select {
	case <-stopped:
		panic(http.ErrAbortHandler)
	case <-s.connections.Stalled(r):
		s.hang(r, stopped)
	default:
	}
	s.mux.ServeHTTP(w, r)
}

// hang leaves a request unanswered until its connection is closed or the service stops, and aborts it.
func (s *Service) hang(r *http.Request, stopped <-chan struct{}) {
	// net/http detects a closed connection only after the request body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-stopped:
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) getHealth(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

// execute runs one call: it appends an execution to the record and responds with its number.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p := s.callFaults(body)
	stalled := s.connections.Stalled(r)
	if p.hang {
		s.hang(r, p.stopped)
	}
	_ = s.config.clock.Sleep(r.Context(), p.delay)
	if p.refuse {
		w.Header().Set("Refused", "true")
		http.Error(w, "refused by an injected fault", http.StatusServiceUnavailable)
		return
	}
	x := s.recordExecution(r, len(body))
	// A call that has started runs to its end even if the client disconnects.
	_ = s.config.clock.Sleep(context.Background(), s.config.executionTime)
	select {
	case <-stalled:
		s.hang(r, p.stopped)
	default:
	}
	if p.crash {
		s.stop()
	}
	if p.crash || p.dropReply {
		panic(http.ErrAbortHandler)
	}
	p.writeResponse(w, r.URL.Query(), x)
}

func (s *Service) recordExecution(r *http.Request, bodyBytes int) Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x := Execution{
		Number: len(s.executions) + 1, Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"),
		Body: bodyBytes, Remote: r.RemoteAddr, At: s.config.clock.Now(),
	}
	s.executions = append(s.executions, x)
	if s.config.onExecution != nil {
		s.config.onExecution(x)
	}
	return x
}

func (s *Service) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isStopped {
		return
	}
	s.isStopped = true
	close(s.stopped)
	if s.config.onCrash != nil {
		go s.config.onCrash()
	}
}

// callFaults holds the faults that affect one call.
type callFaults struct {
	refuse, dropReply, truncate, unframed, crash, hang bool
	delay                                              clock.Millis
	stopped                                            <-chan struct{}
}

// callFaults returns the faults that affect a call with this body and counts the call.
func (s *Service) callFaults(body []byte) callFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := &s.faults
	p := callFaults{hang: f.Hang, delay: f.Delay, stopped: s.stopped}
	if p.hang {
		return p
	}
	if p.refuse = f.Refuse.Take(); p.refuse {
		s.refused++
		return p
	}
	p.crash = f.Crash.Take() || (f.CrashMarker != "" && bytes.Contains(body, []byte(f.CrashMarker)))
	p.dropReply, p.truncate, p.unframed = f.DropReply.Take(), f.Truncate.Take(), f.Unframed.Take()
	return p
}

// writeResponse sends the execution's number, key and path as JSON. The query parameters "status" and "answer-bytes"
// set the status and the minimum size of the response.
func (p callFaults) writeResponse(w http.ResponseWriter, query url.Values, x Execution) {
	body := fmt.Appendf(nil, `{"execution":%d,"key":%q,"path":%q}`, x.Number, x.Key, x.Path)
	if n, err := strconv.Atoi(query.Get("answer-bytes")); err == nil && n > len(body) {
		body = append(body, bytes.Repeat([]byte{' '}, min(n, maxBodyBytes)-len(body))...)
	}
	status := http.StatusOK
	if n, err := strconv.Atoi(query.Get("status")); err == nil && n >= 200 && n <= 599 {
		status = n
	}
	w.Header().Set("Content-Type", "application/json")
	switch {
	case p.truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case p.unframed:
		// Transfer-Encoding: identity makes net/http delimit the body by the end of the connection.
		w.Header().Set("Transfer-Encoding", "identity")
		w.WriteHeader(status)
		_, _ = w.Write(body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

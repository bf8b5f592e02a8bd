// Package roster emulates the platform's list of live and leaving instances: the EndpointSliceList document of the
// Kubernetes discovery.k8s.io/v1 API, with faults that can be changed at run time.
package roster

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	"github.com/poplarwinch/poplarwinch/emulator/history"
)

const (
	path = "/apis/discovery.k8s.io/v1/endpointslices"
	// current is the only key of the store.
	current = "endpoints"
)

// Server is an http.Handler that serves the list. PUT /endpoints replaces the list, PUT /faults sets faults,
// GET /record returns counts.
type Server struct {
	clock *clock.Clock
	seed  uint64
	first []Endpoint
	gate  *fault.Gate
	// lists holds the number of the list that was current at each time; all lists are kept in all.
	lists *history.Store[int]
	mutex sync.Mutex
	all   [][]Endpoint
}

// New returns a server with an empty list, unless an option sets another one.
func New(opts ...Option) *Server {
	s := &Server{clock: clock.System(), seed: 1}
	for _, o := range opts {
		o(s)
	}
	s.lists = history.New[int](s.clock)
	s.gate = fault.NewGate(fault.WithClock(s.clock), fault.WithSeed(s.seed), fault.WithRestore(s.lists.Restore))
	s.SetEndpoints(s.first)
	return s
}

// Close ends all waiting requests without a reply.
func (s *Server) Close() { s.gate.Close() }

// SetFaults replaces the faults, like PUT /faults.
func (s *Server) SetFaults(f fault.Faults) { s.gate.Set(f) }

// SetEndpoints replaces the list, like PUT /endpoints.
func (s *Server) SetEndpoints(list []Endpoint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all = append(s.all, list)
	number := len(s.all) - 1
	s.lists.Do(func(v *history.View[int]) { v.Put(current, number) })
}

// Record returns the counts of reads, like GET /record.
func (s *Server) Record() fault.Record { return s.gate.Record() }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate.ServeControl(w, r) {
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "PUT /endpoints":
		var list []Endpoint
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetEndpoints(list)
		w.WriteHeader(http.StatusNoContent)
	case "GET " + path:
		if r.URL.Query().Get("watch") == "true" {
			s.watch(w, r)
			return
		}
		s.gate.Serve(w, r, func([]byte) fault.Class { return fault.Reads }, func([]byte) fault.Response { return s.list() })
	default:
		http.NotFound(w, r)
	}
}

// list replies with the list, at the age that the faults set.
func (s *Server) list() fault.Response {
	number := s.number()
	l := s.numbered(number)
	l.Metadata.ResourceVersion = strconv.Itoa(number)
	body, err := json.Marshal(l)
	if err != nil {
		return fault.Response{Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	return fault.Response{Status: http.StatusOK, Body: body, Header: map[string]string{"Content-Type": "application/json"}}
}

// number returns the number of the list that the platform shows, which serves as its resource version.
func (s *Server) number() int {
	var number int
	s.lists.Do(func(v *history.View[int]) { number, _ = v.At(current, s.clock.Now()-s.gate.Stale()) })
	return number
}

// numbered returns the list with the given number.
func (s *Server) numbered(number int) list {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if number < 0 || number >= len(s.all) {
		return newList(nil)
	}
	return newList(s.all[number])
}

// Package roster emulates the platform's list of live and leaving instances: listing and watching endpoint slices in
// the Kubernetes discovery.k8s.io/v1 API. Faults can be changed at run time.
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
	listPath = "/apis/discovery.k8s.io/v1/endpointslices"
	// listKey is the only key in Server.currentVersions.
	listKey = "endpoints"
)

// Server is an http.Handler that serves the list. PUT /endpoints replaces the list, PUT /faults sets faults, GET /record
// returns request counts.
type Server struct {
	clock   *clock.Clock
	seed    uint64
	initial []Endpoint
	gate    *fault.Gate
	// currentVersions holds which resource version was current at what time. Resource versions are indices of versions,
	// which holds all lists.
	currentVersions *history.Store[int]
	mutex           sync.Mutex
	versions        [][]Endpoint
	// restores is the number of restores. Watches from before the last one have ended.
	restores int
}

// New returns a server. Its list is empty without WithEndpoints.
func New(opts ...Option) *Server {
	s := &Server{clock: clock.System(), seed: 1}
	for _, o := range opts {
		o(s)
	}
	s.currentVersions = history.New[int](s.clock)
	s.gate = fault.NewGate(fault.WithClock(s.clock), fault.WithSeed(s.seed), fault.WithRestore(s.restore))
	s.SetEndpoints(s.initial)
	return s
}

// Close aborts all delayed and unanswered requests.
func (s *Server) Close() { s.gate.Close() }

// SetFaults replaces the faults, as PUT /faults does.
func (s *Server) SetFaults(f fault.Faults) { s.gate.Set(f) }

// SetEndpoints replaces the list, as PUT /endpoints does.
func (s *Server) SetEndpoints(list []Endpoint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.versions = append(s.versions, list)
	resourceVersion := len(s.versions) - 1
	s.currentVersions.Do(func(v *history.View[int]) { v.Put(listKey, resourceVersion) })
}

// Restore resets the list to the state that it had the given time ago, as the fault of the same name does. Resource versions go
// back too and are given out again.
func (s *Server) Restore(age clock.Millis) { s.restore(s.clock.Now() - age) }

func (s *Server) restore(at clock.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.currentVersions.Restore(at)
	current := 0
	s.currentVersions.Do(func(v *history.View[int]) { current, _ = v.Get(listKey) })
	s.versions = s.versions[:current+1]
	s.restores++
}

// Record returns the counts of reads, as GET /record does.
func (s *Server) Record() fault.Record { return s.gate.Record() }

// ServeHTTP serves list and watch requests, PUT /endpoints, PUT /faults and GET /record.
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
	case "GET " + listPath:
		if r.URL.Query().Get("watch") == "true" {
			s.watch(w, r)
			return
		}
		s.gate.Serve(w, r, func([]byte) fault.Class { return fault.Reads }, func([]byte) fault.Response { return s.list() })
	default:
		http.NotFound(w, r)
	}
}

// list returns the response with the list, which is stale if the faults say so.
func (s *Server) list() fault.Response {
	resourceVersion := s.resourceVersion()
	l := s.listAt(resourceVersion)
	l.Metadata.ResourceVersion = strconv.Itoa(resourceVersion)
	body, err := json.Marshal(l)
	if err != nil {
		return fault.Response{Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	return fault.Response{Status: http.StatusOK, Body: body, Header: map[string]string{"Content-Type": "application/json"}}
}

// resourceVersion returns the resource version that clients see, which is stale if the faults say so.
func (s *Server) resourceVersion() int {
	var resourceVersion int
	s.currentVersions.Do(func(v *history.View[int]) { resourceVersion, _ = v.At(listKey, s.clock.Now()-s.gate.Stale()) })
	return resourceVersion
}

// restoreCount returns the number of restores, and whether the resource version is known.
func (s *Server) restoreCount(resourceVersion int) (restores int, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.restores, resourceVersion >= 0 && resourceVersion < len(s.versions)
}

// listAt returns the list with the given resource version, an empty one if the version is unknown.
func (s *Server) listAt(resourceVersion int) endpointSliceList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if resourceVersion < 0 || resourceVersion >= len(s.versions) {
		return newEndpointSliceList(nil)
	}
	return newEndpointSliceList(s.versions[resourceVersion])
}

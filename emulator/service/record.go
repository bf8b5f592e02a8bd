package service

import (
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// Record says what a service executed since New, across restarts.
type Record struct {
	// Executions lists all executed calls in order.
	Executions []Execution `json:"executions"`
	// Counts has the number of executions by "METHOD PATH KEY".
	Counts  map[string]int `json:"counts"`
	Refused int            `json:"refused"`
}

// Execution is one executed call.
type Execution struct {
	Number int    `json:"number"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Key is the Idempotency-Key, empty without one.
	Key  string `json:"key"`
	Body int    `json:"body-bytes"`
	// Remote is the client's address; it differs for each connection.
	Remote string       `json:"remote"`
	At     clock.Millis `json:"at-ms"`
}

// Name is the execution's entry in Record.Counts.
func (x Execution) Name() string { return x.Method + " " + x.Path + " " + x.Key }

// Record returns a copy of what the service did so far.
func (s *Service) Record() Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := Record{Executions: append([]Execution{}, s.executions...), Counts: map[string]int{}, Refused: s.refused}
	for _, x := range out.Executions {
		out.Counts[x.Name()]++
	}
	return out
}

func (s *Service) getRecord(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, s.Record())
}

package service

import (
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// Record describes what a service has executed since New; restarts do not reset it.
type Record struct {
	// Executions lists the executed calls in order.
	Executions []Execution `json:"executions"`
	// Counts is the number of executions by Execution.Name.
	Counts  map[string]int `json:"counts"`
	Refused int            `json:"refused"`
}

// Execution describes an executed call.
type Execution struct {
	Number int    `json:"number"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Key is the Idempotency-Key, empty if the call has none.
	Key  string `json:"key"`
	Body int    `json:"body-bytes"`
	// Remote is the client's address and port, which differ for each connection.
	Remote string       `json:"remote"`
	At     clock.Millis `json:"at-ms"`
}

// Name returns the key of the execution in Record.Counts: "METHOD PATH KEY".
func (x Execution) Name() string { return x.Method + " " + x.Path + " " + x.Key }

// Record returns a copy of the service's record.
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

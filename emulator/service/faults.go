package service

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// Faults is the body of GET and PUT /faults; PUT replaces all faults.
type Faults struct {
	// DropReply closes the connection after the call has run, before the response headers.
	DropReply fault.Count `json:"drop-reply"`
	// Refuse rejects calls before running them, with status 503 and Refused: true.
	Refuse fault.Count `json:"refuse"`
	// Truncate closes the connection in the middle of the response body, after the call has run.
	Truncate fault.Count `json:"truncate"`
	// Unframed sends the response without Content-Length and chunked encoding, so that only the end of the connection
	// delimits it.
	Unframed fault.Count `json:"unframed"`
	// Crash stops the service after the call has run: all connections are aborted until Restart.
	Crash fault.Count `json:"crash"`
	// CrashMarker crashes the service on a call whose body contains this text; an empty marker has no effect.
	CrashMarker string `json:"crash-marker"`
	// Delay is the time that each call waits before it is handled.
	Delay clock.Millis `json:"delay-ms"`
	// Hang leaves all calls unanswered without running them, including those on new connections.
	Hang bool `json:"hang"`
	// StallConnections stalls the connections that are open when the faults are set; GET returns it as false.
	StallConnections bool `json:"stall-connections"`
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) { s.setFaults(f, "") }

func (s *Service) setFaults(f Faults, exceptAddress string) {
	stall := f.StallConnections
	f.StallConnections = false
	s.mutex.Lock()
	s.faults = f
	s.mutex.Unlock()
	if stall {
		s.connections.Stall(exceptAddress)
	}
}

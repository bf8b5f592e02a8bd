package service

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// Faults are the switches of GET and PUT /faults; PUT replaces all of them.
type Faults struct {
	// DropReply closes the connection after the call ran, before the headers.
	DropReply fault.Count `json:"drop-reply"`
	// Refuse rejects calls before running them, with status 503 and Refused: true.
	Refuse fault.Count `json:"refuse"`
	// Truncate closes the connection in the middle of the answer's body, after the call ran.
	Truncate fault.Count `json:"truncate"`
	// Unframed sends the answer without length and chunks, so that its end is the end of the connection.
	Unframed fault.Count `json:"unframed"`
	// Crash aborts all connections and refuses further work after the call ran.
	Crash fault.Count `json:"crash"`
	// CrashMarker crashes the service when a call's body contains this text; empty for none.
	CrashMarker string `json:"crash-marker"`
	// Delay is the time before each call is handled.
	Delay clock.Millis `json:"delay-ms"`
	// Hang leaves all calls unanswered without running them, also on new connections.
	Hang bool `json:"hang"`
	// StallConnections stalls the connections that are open at this moment, once; it always reads as false.
	StallConnections bool `json:"stall-connections"`
}

// Faults returns the present switches.
func (s *Service) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the switches.
func (s *Service) SetFaults(f Faults) { s.setFaults(f, "") }

func (s *Service) setFaults(f Faults, except string) {
	stall := f.StallConnections
	f.StallConnections = false
	s.mutex.Lock()
	s.faults = f
	s.mutex.Unlock()
	if stall {
		s.connections.Stall(except)
	}
}

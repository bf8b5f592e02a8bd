package engine

import (
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// Faults is the body of GET and PUT /faults; PUT replaces all faults. Frame faults affect the second frame of a
// response; Truncate and BreakConnection end the response after its second frame.
type Faults struct {
	// DropReply closes the connection after a prompt has been accepted, before the response headers; the prompt runs.
	DropReply fault.Count `json:"drop-reply"`
	// DropControlReply closes the connection after a change of KV memory or an order has been handled.
	DropControlReply fault.Count `json:"drop-control-reply"`
	// Refuse rejects prompts with status 503 and Refused: true.
	Refuse fault.Count `json:"refuse"`
	// Delay is the time that each request waits before it is handled.
	Delay clock.Millis `json:"delay-ms"`
	// Hang leaves all requests unanswered, including those on new connections.
	Hang bool `json:"hang"`
	// StallConnections stalls the connections that are open when the faults are set; GET returns it as false.
	StallConnections bool `json:"stall-connections"`
	// CrashMarker crashes the engine when it runs a prompt that contains this text; an empty marker has no effect.
	CrashMarker string `json:"crash-marker"`
	// CrashTokens is the number of tokens that the answer has then; zero crashes the engine when it starts the prompt.
	CrashTokens     int         `json:"crash-tokens"`
	DuplicateFrames fault.Count `json:"duplicate-frames"`
	DropFrames      fault.Count `json:"drop-frames"`
	ReorderFrames   fault.Count `json:"reorder-frames"`
	// ForeignFrames inserts a frame of another stream.
	ForeignFrames fault.Count `json:"foreign-frames"`
	// Truncate ends the response normally but without [DONE].
	Truncate fault.Count `json:"truncate"`
	// BreakConnection aborts the connection in the middle of a stream.
	BreakConnection fault.Count `json:"break-connection"`
	// IgnoreFencing accepts orders with stale fencing tokens on an engine that checks them.
	IgnoreFencing bool `json:"ignore-fencing"`
	Leaving       bool `json:"leaving"`
	// LoadLag is the age of the load that GET /metrics reports.
	LoadLag clock.Millis `json:"load-lag-ms"`
	// EventLoss is the fraction of cache events that are lost, from 0 to 1.
	EventLoss  float64      `json:"event-loss"`
	EventDelay clock.Millis `json:"event-delay-ms"`
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) { e.setFaults(f, "") }

func (e *Engine) setFaults(f Faults, exceptAddress string) {
	stall := f.StallConnections
	f.StallConnections = false
	e.mutex.Lock()
	e.faults = f
	e.boot.recordLoad(e.config.clock.Now(), f.LoadLag)
	e.mutex.Unlock()
	if stall {
		e.connections.Stall(exceptAddress)
	}
}

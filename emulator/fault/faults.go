// Package fault injects faults into the emulators at run time.
package fault

import "github.com/poplarwinch/poplarwinch/clock"

// Class is the class of a request: reads do not change the emulator's state, writes may.
type Class string

// The classes of requests.
const (
	Reads  Class = "reads"
	Writes Class = "writes"
)

// Outage is the behavior of an emulator during an outage.
type Outage string

// The kinds of outages.
const (
	// Unavailable answers with status 503.
	Unavailable Outage = "unavailable"
	// Silent accepts requests and never responds.
	Silent Outage = "silent"
)

// Faults is the set of active faults of an emulator. The zero value has no faults.
type Faults struct {
	// AppliesTo restricts Outage, DropReply and the delays to a class of requests; empty means all requests.
	AppliesTo Class `json:"applies-to,omitempty"`
	// Limit is the maximum number of requests that Outage, DropReply and the delays affect; 0 means no limit.
	Limit int `json:"limit,omitempty"`
	// ShareOfRequests is the fraction of requests that Outage, DropReply and the delays affect, from 0 to 1; 0 means all.
	ShareOfRequests float64 `json:"share,omitempty"`

	Outage Outage `json:"outage,omitempty"`
	// DropReply closes the connection instead of replying; the request takes effect.
	DropReply bool `json:"lose-reply,omitempty"`
	// DelayBefore delays the effect of a request. The request takes effect even if the client disconnects meanwhile.
	DelayBefore clock.Millis `json:"delay-before-ms,omitempty"`
	// DelayAfter delays the reply after the effect.
	DelayAfter clock.Millis `json:"delay-after-ms,omitempty"`

	// StallConnections stalls the connections that are open when the faults are set; new ones work.
	StallConnections bool `json:"stall-connections,omitempty"`
	// Stale is the age of the state that reads return unless they request consistency.
	Stale clock.Millis `json:"stale-ms,omitempty"`
	// Restore rolls the state back by this time once, when the faults are set.
	Restore clock.Millis `json:"restore-ms,omitempty"`
	// ReadsPerSecond limits the rate of reads; 0 means no limit.
	ReadsPerSecond float64 `json:"reads-per-second,omitempty"`
	// WritesPerSecond limits the rate of writes; 0 means no limit.
	WritesPerSecond float64 `json:"writes-per-second,omitempty"`
}

// Package fault injects faults into the emulators of the platform's services.
package fault

import "github.com/poplarwinch/poplarwinch/clock"

// Class says whether a request changes the emulator's state.
type Class string

// The classes of requests.
const (
	Reads  Class = "reads"
	Writes Class = "writes"
)

// Outage says how an emulator that is out of service behaves.
type Outage string

// The kinds of outages.
const (
	// Unavailable answers with status 503.
	Unavailable Outage = "unavailable"
	// Silent accepts requests and never answers.
	Silent Outage = "silent"
)

// Faults is the set of faults that an emulator has at a time. Its zero value is none.
type Faults struct {
	// AppliesTo restricts Outage, LoseReply and the delays to a class of requests; empty means all.
	AppliesTo Class `json:"applies-to,omitempty"`
	// Limit is the number of requests that get Outage, LoseReply and the delays; 0 means no limit.
	Limit int `json:"limit,omitempty"`
	// Share is the share of requests that get Outage, LoseReply and the delays; 0 means all.
	Share float64 `json:"share,omitempty"`

	Outage Outage `json:"outage,omitempty"`
	// LoseReply closes the connection after the effect instead of replying.
	LoseReply bool `json:"lose-reply,omitempty"`
	// DelayBefore delays the effect, which takes place also if the client has gone by then.
	DelayBefore clock.Millis `json:"delay-before-ms,omitempty"`
	// DelayAfter delays the reply after the effect.
	DelayAfter clock.Millis `json:"delay-after-ms,omitempty"`

	// StallConnections stops the connections that are open when the faults are set; new ones work.
	StallConnections bool `json:"stall-connections,omitempty"`
	// Stale is the age of the state that reads return unless they ask for consistency.
	Stale clock.Millis `json:"stale-ms,omitempty"`
	// Restore puts back the state of this long ago, once, when the faults are set.
	Restore clock.Millis `json:"restore-ms,omitempty"`
	// ReadsPerSecond and WritesPerSecond limit the rate; 0 means no limit.
	ReadsPerSecond  float64 `json:"reads-per-second,omitempty"`
	WritesPerSecond float64 `json:"writes-per-second,omitempty"`
}

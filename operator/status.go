package operator

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Status is the state of one instance.
type Status struct {
	Instance         poplarwinch.InstanceID
	Version          string // version of the program
	FailureDomain    poplarwinch.FailureDomain
	Ready            bool
	Manifest         ManifestVersion
	Peers            []Peer
	Upstreams        []Upstream
	RequestsInFlight int
	Rejections       map[poplarwinch.Kind]uint64 // since the start of the instance
	Alarms           []Alarm
}

// ManifestVersion identifies the active manifest; version 0 means that there is none.
type ManifestVersion struct {
	Version uint64
	Digest  string
}

// Peer is an instance as this instance knows it.
type Peer struct {
	Instance        poplarwinch.InstanceID
	Address         string
	FailureDomain   poplarwinch.FailureDomain
	State           string
	ManifestVersion uint64
}

// Upstream is a model engine or a server of a plain service as this instance knows it.
type Upstream struct {
	ID                   poplarwinch.UpstreamID
	Kind                 string
	Pool                 string
	Address              string
	State                string
	Running              int
	Waiting              int
	WaitingPrefillTokens poplarwinch.Tokens
	KVUsedTokens         poplarwinch.Tokens
	KVCapacityTokens     poplarwinch.Tokens
	ReportAge            clock.Millis
	InFlight             int // requests that this instance has sent and that have not ended
}

// Alarm is a condition that needs an operator.
type Alarm struct {
	Name    string
	Message string
	Since   clock.Millis // as Unix time
}

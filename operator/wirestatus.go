package operator

import (
	"net/http"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

type wireStatus struct {
	Instance         poplarwinch.InstanceID      `json:"instance"`
	Version          string                      `json:"version"`
	FailureDomain    poplarwinch.FailureDomain   `json:"failure-domain"`
	Ready            bool                        `json:"ready"`
	Manifest         wireVersion                 `json:"manifest"`
	Peers            []wirePeer                  `json:"peers"`
	Upstreams        []wireUpstream              `json:"upstreams"`
	RequestsInFlight int                         `json:"requests-in-flight"`
	Rejections       map[poplarwinch.Kind]uint64 `json:"rejections"`
	Alarms           []wireAlarm                 `json:"alarms"`
}

type wireVersion struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

type wirePeer struct {
	Instance        poplarwinch.InstanceID    `json:"instance"`
	Address         string                    `json:"address"`
	FailureDomain   poplarwinch.FailureDomain `json:"failure-domain"`
	State           string                    `json:"state"`
	ManifestVersion uint64                    `json:"manifest-version"`
}

type wireUpstream struct {
	ID                   poplarwinch.UpstreamID `json:"id"`
	Kind                 string                 `json:"kind"`
	Pool                 string                 `json:"pool"`
	Address              string                 `json:"address"`
	State                string                 `json:"state"`
	Running              int                    `json:"running"`
	Waiting              int                    `json:"waiting"`
	WaitingPrefillTokens poplarwinch.Tokens     `json:"waiting-prefill-tokens"`
	KVUsedTokens         poplarwinch.Tokens     `json:"kv-used-tokens"`
	KVCapacityTokens     poplarwinch.Tokens     `json:"kv-capacity-tokens"`
	ReportAge            clock.Millis           `json:"report-age-ms"`
	InFlight             int                    `json:"in-flight"`
}

type wireAlarm struct {
	Name    string       `json:"name"`
	Message string       `json:"message"`
	Since   clock.Millis `json:"since-ms"`
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, encodeStatus(s.Status()))
}

// encodeStatus converts the status for JSON, with empty lists as [] instead of null.
func encodeStatus(s Status) wireStatus {
	w := wireStatus{
		Instance: s.Instance, Version: s.Version, FailureDomain: s.FailureDomain, Ready: s.Ready,
		Manifest: wireVersion(s.Manifest), RequestsInFlight: s.RequestsInFlight, Rejections: s.Rejections,
		Peers: []wirePeer{}, Upstreams: []wireUpstream{}, Alarms: []wireAlarm{},
	}
	if w.Rejections == nil {
		w.Rejections = map[poplarwinch.Kind]uint64{}
	}
	for _, p := range s.Peers {
		w.Peers = append(w.Peers, wirePeer(p))
	}
	for _, u := range s.Upstreams {
		w.Upstreams = append(w.Upstreams, wireUpstream(u))
	}
	for _, a := range s.Alarms {
		w.Alarms = append(w.Alarms, wireAlarm(a))
	}
	return w
}

package peer

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// wireObservation is the encoding of a full observation. When only the load has changed, a packed load is sent instead.
type wireObservation struct {
	ID     poplarwinch.UpstreamID `cbor:"1,keyasint"`
	At     clock.Millis           `cbor:"2,keyasint"`
	State  string                 `cbor:"3,keyasint"`
	BootID string                 `cbor:"4,keyasint,omitempty"`
	Role   string                 `cbor:"5,keyasint,omitempty"`
	Load   wireLoad               `cbor:"6,keyasint"`
	Models []wireLoadedModel      `cbor:"7,keyasint,omitempty"`
}

type wireLoad struct {
	Running              int                `cbor:"1,keyasint,omitempty"`
	Waiting              int                `cbor:"2,keyasint,omitempty"`
	WaitingPrefillTokens poplarwinch.Tokens `cbor:"3,keyasint,omitempty"`
	KVUsedTokens         poplarwinch.Tokens `cbor:"4,keyasint,omitempty"`
	KVCapacityTokens     poplarwinch.Tokens `cbor:"5,keyasint,omitempty"`
	PrefillTokensPerSec  int64              `cbor:"6,keyasint,omitempty"`
	ReportAge            clock.Millis       `cbor:"7,keyasint,omitempty"`
}

type wireLoadedModel struct {
	Name     poplarwinch.ModelName `cbor:"1,keyasint"`
	Version  string                `cbor:"2,keyasint,omitempty"`
	Adapters []wireAdapter         `cbor:"3,keyasint,omitempty"`
}

type wireAdapter struct {
	Name    poplarwinch.AdapterName `cbor:"1,keyasint"`
	Version string                  `cbor:"2,keyasint,omitempty"`
}

func encodeObservations(observations []Observation) []wireObservation {
	var list []wireObservation
	for _, o := range observations {
		w := wireObservation{ID: o.ID, At: o.At, State: o.State, BootID: o.BootID, Role: o.Role, Load: wireLoad(o.Load)}
		for _, l := range o.Models {
			m := wireLoadedModel{Name: l.Name, Version: l.Version}
			for _, a := range l.Adapters {
				m.Adapters = append(m.Adapters, wireAdapter(a))
			}
			w.Models = append(w.Models, m)
		}
		list = append(list, w)
	}
	return list
}

func decodeObservations(list []wireObservation) []Observation {
	var observations []Observation
	for _, w := range list {
		o := Observation{ID: w.ID, At: w.At, State: w.State, BootID: w.BootID, Role: w.Role, Load: Load(w.Load)}
		for _, m := range w.Models {
			l := LoadedModel{Name: m.Name, Version: m.Version}
			for _, a := range m.Adapters {
				l.Adapters = append(l.Adapters, LoadedAdapter(a))
			}
			o.Models = append(o.Models, l)
		}
		observations = append(observations, o)
	}
	return observations
}

package peer

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

type wireSuspect struct {
	Fingerprint []byte      `cbor:"1,keyasint"`
	Crashes     []wireCrash `cbor:"2,keyasint,omitempty"`
	Position    int         `cbor:"3,keyasint,omitempty"`
}

type wireCrash struct {
	Upstream poplarwinch.UpstreamID `cbor:"1,keyasint"`
	Boot     int64                  `cbor:"6,keyasint,omitempty"`
	At       clock.Millis           `cbor:"3,keyasint"`
	Silence  clock.Millis           `cbor:"4,keyasint,omitempty"`
	Cleared  bool                   `cbor:"5,keyasint,omitempty"`
}

func encodeSuspects(suspects []Suspect) []wireSuspect {
	var list []wireSuspect
	for _, s := range suspects {
		w := wireSuspect{Fingerprint: s.Fingerprint[:], Position: s.Position}
		for _, c := range s.Crashes {
			w.Crashes = append(w.Crashes, wireCrash(c))
		}
		list = append(list, w)
	}
	return list
}

// decodeSuspects skips records whose fingerprint has the wrong length.
func decodeSuspects(list []wireSuspect) []Suspect {
	var suspects []Suspect
	for _, w := range list {
		var s Suspect
		if copy(s.Fingerprint[:], w.Fingerprint) != len(s.Fingerprint) || len(w.Fingerprint) != len(s.Fingerprint) {
			continue
		}
		s.Position = w.Position
		for _, c := range w.Crashes {
			s.Crashes = append(s.Crashes, Crash(c))
		}
		suspects = append(suspects, s)
	}
	return suspects
}

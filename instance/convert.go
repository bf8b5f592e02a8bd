package instance

import (
	"github.com/poplarwinch/poplarwinch/peer"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// toPeers converts observations to the peer protocol. An upstream that is leaving and down has two observations in
// sequence; only the first one, leaving, is sent, because it is final and down is not.
func toPeers(observations []upstream.Observation) []peer.Observation {
	out := make([]peer.Observation, 0, len(observations))
	for _, o := range observations {
		if n := len(out); n > 0 && out[n-1].ID == o.ID {
			continue
		}
		out = append(out, toPeer(o))
	}
	return out
}

func toPeer(o upstream.Observation) peer.Observation {
	p := peer.Observation{ID: o.ID, At: o.At, State: string(o.State), BootID: o.BootID}
	if l := o.Load; l.At != 0 {
		p.Load = peer.Load{
			Running: int(l.RunningRequests), Waiting: int(l.WaitingRequests), WaitingPrefillTokens: l.WaitingPrefillTokens,
			KVUsedTokens: l.KVUsedTokens, KVCapacityTokens: l.KVCapacityTokens,
			PrefillTokensPerSec: l.PrefillTokensPerSecond, ReportAge: max(0, o.At-l.At),
		}
	}
	for _, m := range o.Models {
		loaded := peer.LoadedModel{Name: m.Name, Version: m.Version}
		for _, a := range m.Adapters {
			loaded.Adapters = append(loaded.Adapters, peer.LoadedAdapter(a))
		}
		p.Models = append(p.Models, loaded)
	}
	return p
}

func fromPeers(observations []peer.Observation) []upstream.Observation {
	out := make([]upstream.Observation, 0, len(observations))
	for _, p := range observations {
		out = append(out, fromPeer(p))
	}
	return out
}

func fromPeer(p peer.Observation) upstream.Observation {
	o := upstream.Observation{
		ID: p.ID, At: p.At, State: upstream.State(p.State), BootID: p.BootID, Models: make([]upstream.LoadedModel, 0, len(p.Models)),
	}
	if l := p.Load; l != (peer.Load{}) {
		o.Load = upstream.Load{
			At: p.At - l.ReportAge, RunningRequests: int64(l.Running), WaitingRequests: int64(l.Waiting),
			WaitingPrefillTokens: l.WaitingPrefillTokens, KVUsedTokens: l.KVUsedTokens, KVCapacityTokens: l.KVCapacityTokens,
			PrefillTokensPerSecond: l.PrefillTokensPerSec,
		}
	}
	for _, m := range p.Models {
		loaded := upstream.LoadedModel{Name: m.Name, Version: m.Version}
		for _, a := range m.Adapters {
			loaded.Adapters = append(loaded.Adapters, upstream.LoadedAdapter(a))
		}
		o.Models = append(o.Models, loaded)
	}
	return o
}

func suspectsToPeers(suspects []quarantine.Suspect) []peer.Suspect {
	out := make([]peer.Suspect, len(suspects))
	for i, s := range suspects {
		out[i].Fingerprint, out[i].Position = s.Fingerprint, s.Position
		for _, d := range s.Deaths {
			out[i].Crashes = append(out[i].Crashes, peer.Crash(d))
		}
	}
	return out
}

func suspectsFromPeers(suspects []peer.Suspect) []quarantine.Suspect {
	out := make([]quarantine.Suspect, len(suspects))
	for i, s := range suspects {
		out[i].Fingerprint, out[i].Position = s.Fingerprint, s.Position
		for _, c := range s.Crashes {
			out[i].Deaths = append(out[i].Deaths, quarantine.Death(c))
		}
	}
	return out
}

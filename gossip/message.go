package gossip

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

// message is the content of a datagram.
type message struct {
	_        struct{} `cbor:",toarray"`
	From     poplarwinch.InstanceID
	Domain   poplarwinch.FailureDomain
	Boot     int64
	Sequence uint64
	Versions map[string]replica.Version
	Servers  []serverWork
	// Waiting is the number of the sender's requests that are queued for a server.
	Waiting  int
	Suspects []suspect
	// OwnWork is set if Servers and Waiting hold the sender's report.
	OwnWork bool
	// Summaries has the load of all instances on the servers of whole cells.
	Summaries []summary
	// Follows is set if the sender follows a table of the platform itself.
	Follows bool
	// Failing is set if the sender can't read a table of the platform.
	Failing bool
	// CellIndex and CellCount are the sender's cell; see fleet.Cell.
	CellIndex int
	CellCount int
	// Changes has changes of tables.
	Changes []tableChanges
	// Leaving is set if the sender is stopping and puts no more load on servers.
	Leaving bool
}

// serverWork is the load on one server; see fleet.ServerWork and fleet.Load for the fields.
type serverWork struct {
	_                struct{} `cbor:",toarray"`
	ID               poplarwinch.UpstreamID
	Requests         int
	Decoding         int
	Prefilling       int
	Prefill          clock.Millis
	Due              clock.Millis
	PendingPrefill   clock.Millis
	PendingDue       clock.Millis
	MinPause         clock.Millis
	MaxPause         clock.Millis
	Memory           poplarwinch.Tokens
	SubmittedPrefill clock.Millis
	Unreachable      bool
	Sent             int
	// LimitKnown, Limit and LimitAge are fleet.LimitReport.
	LimitKnown bool
	Limit      fleet.RequestRate
	LimitAge   clock.Millis
}

// summary is the load of all instances on the servers of one cell; see fleet.Summary.
type summary struct {
	_         struct{} `cbor:",toarray"`
	Domain    poplarwinch.FailureDomain
	CellIndex int
	CellCount int
	Partial   bool
	Age       clock.Millis
	Servers   []serverWork
}

// suspect is a request or a part of prompts that was running on servers when they crashed; see quarantine.Suspect.
type suspect struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte
	Position    int
	Deaths      []death
}

// death is the crash of a server. Age is the time since then, because the clocks of instances differ.
type death struct {
	_        struct{} `cbor:",toarray"`
	Upstream poplarwinch.UpstreamID
	Age      clock.Millis
	Ran      clock.Millis
	Cleared  bool
}

func encodeWork(servers []fleet.ServerWork) []serverWork {
	list := make([]serverWork, 0, len(servers))
	for _, s := range servers {
		load := s.Load
		list = append(list, serverWork{
			ID: s.ID, Requests: load.Requests, Decoding: load.Decoding, Prefilling: load.Prefilling, Prefill: load.Prefill, PendingPrefill: load.PendingPrefill, PendingDue: load.PendingDue, Due: load.Due,
			MinPause: load.MinPause, MaxPause: load.MaxPause, Memory: load.Memory, SubmittedPrefill: s.SubmittedPrefill, Unreachable: s.Unreachable,
			Sent: s.Sent, LimitKnown: s.Limit.Known, Limit: s.Limit.Rate, LimitAge: s.Limit.Age,
		})
	}
	return list
}

func decodeWork(list []serverWork) []fleet.ServerWork {
	servers := make([]fleet.ServerWork, 0, len(list))
	for _, s := range list {
		limit := fleet.LimitReport{Known: s.LimitKnown, Rate: s.Limit, Age: s.LimitAge}
		servers = append(servers, fleet.ServerWork{ID: s.ID, SubmittedPrefill: s.SubmittedPrefill, Unreachable: s.Unreachable, Sent: s.Sent, Limit: limit, Load: fleet.Load{
			Requests: s.Requests, Decoding: s.Decoding, Prefilling: s.Prefilling, Prefill: s.Prefill, PendingPrefill: s.PendingPrefill, PendingDue: s.PendingDue, Due: s.Due,
			MinPause: s.MinPause, MaxPause: s.MaxPause, Memory: s.Memory,
		}})
	}
	return servers
}

func encodeSummaries(list []fleet.Summary) []summary {
	var cells []summary
	for _, s := range list {
		cells = append(cells, summary{
			Domain: s.Domain, CellIndex: s.Cell.Index, CellCount: s.Cell.Count, Partial: s.Partial, Age: s.Age, Servers: encodeWork(s.Servers),
		})
	}
	return cells
}

func decodeSummary(s summary) fleet.Summary {
	return fleet.Summary{
		Domain: s.Domain, Cell: fleet.Cell{Index: s.CellIndex, Count: s.CellCount}, Partial: s.Partial, Age: s.Age, Servers: decodeWork(s.Servers),
	}
}

func encodeSuspects(list []quarantine.Suspect, now clock.Millis) []suspect {
	var suspects []suspect
	for _, s := range list {
		encoded := suspect{Fingerprint: s.Fingerprint[:], Position: s.Position}
		for _, d := range s.Deaths {
			encoded.Deaths = append(encoded.Deaths, death{Upstream: d.Upstream, Age: now - d.At, Ran: d.Ran, Cleared: d.Cleared})
		}
		suspects = append(suspects, encoded)
	}
	return suspects
}

func decodeSuspects(list []suspect, now clock.Millis) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, w := range list {
		if len(w.Fingerprint) != len(quarantine.Fingerprint{}) {
			continue
		}
		decoded := quarantine.Suspect{Fingerprint: quarantine.Fingerprint(w.Fingerprint), Position: w.Position}
		for _, d := range w.Deaths {
			decoded.Deaths = append(decoded.Deaths, quarantine.Death{Upstream: d.Upstream, At: now - d.Age, Ran: d.Ran, Cleared: d.Cleared})
		}
		suspects = append(suspects, decoded)
	}
	return suspects
}

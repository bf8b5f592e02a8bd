package gossip

import (
	"slices"

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
	// Positions has what the sender knows of the tables.
	Positions map[string]replica.Position
	Servers   []serverWork
	Notices   []serverNotice
	// Waiting has the numbers of the sender's requests that are queued for a server.
	Waiting  []waitingCount
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
	// Generations has those of the tables of which the sender has rows that their restored source lacks.
	Generations map[string]int64
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
}

// serverNotice is what the sender knows of a server with notices; see fleet.ServerWork and fleet.NoticeReport. It is apart from
// serverWork because few servers have notices. Those with a negative Boot are about cold servers; see encodeCold.
type serverNotice struct {
	_            struct{} `cbor:",toarray"`
	ID           poplarwinch.UpstreamID
	Sent         int
	Boot         int64
	LimitKnown   bool
	Limit        fleet.RequestRate
	LimitAge     clock.Millis
	LeavingKnown bool
	Leaving      bool
	LeavingAge   clock.Millis
	Rest         clock.Millis
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
	Notices   []serverNotice
}

// suspect is a request or a part of prompts that was running on servers when they crashed; see quarantine.Suspect. The one without a
// fingerprint has the starts of the servers; see encodeStarts.
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
	Silence  clock.Millis
	Cleared  bool
}

func encodeWork(servers []fleet.ServerWork) []serverWork {
	list := make([]serverWork, 0, len(servers))
	for _, s := range servers {
		load := s.Load
		list = append(list, serverWork{
			ID: s.ID, Requests: load.Requests, Decoding: load.Decoding, Prefilling: load.Prefilling, Prefill: load.Prefill, PendingPrefill: load.PendingPrefill, PendingDue: load.PendingDue, Due: load.Due,
			MinPause: load.MinPause, MaxPause: load.MaxPause, Memory: load.Memory, SubmittedPrefill: s.SubmittedPrefill, Unreachable: s.Unreachable,
		})
	}
	return list
}

func decodeWork(list []serverWork) []fleet.ServerWork {
	servers := make([]fleet.ServerWork, 0, len(list))
	for _, s := range list {
		servers = append(servers, fleet.ServerWork{ID: s.ID, SubmittedPrefill: s.SubmittedPrefill, Unreachable: s.Unreachable, Load: fleet.Load{
			Requests: s.Requests, Decoding: s.Decoding, Prefilling: s.Prefilling, Prefill: s.Prefill, PendingPrefill: s.PendingPrefill, PendingDue: s.PendingDue, Due: s.Due,
			MinPause: s.MinPause, MaxPause: s.MaxPause, Memory: s.Memory,
		}})
	}
	return servers
}

// encodeNotices returns what a report says of servers with notices.
func encodeNotices(servers []fleet.ServerWork) []serverNotice {
	list := encodeCold(servers)
	for _, s := range servers {
		if n := s.Notice; s.Sent > 0 || n.Known() {
			list = append(list, serverNotice{
				ID: s.ID, Sent: s.Sent, Boot: n.Boot, LimitKnown: n.Limit.Known, Limit: n.Limit.Rate, LimitAge: n.Limit.Age,
				LeavingKnown: n.Leaving.Known, Leaving: n.Leaving.Leaving, LeavingAge: n.Leaving.Age, Rest: n.Rest,
			})
		}
	}
	return list
}

// withNotices adds what a message says of notices to the work on the same servers.
func withNotices(servers []fleet.ServerWork, list []serverNotice) []fleet.ServerWork {
	for _, n := range list {
		if n.Boot < 0 {
			continue
		}
		i := slices.IndexFunc(servers, func(s fleet.ServerWork) bool { return s.ID == n.ID })
		if i >= 0 {
			servers[i].Sent, servers[i].Notice = n.Sent, fleet.NoticeReport{
				Boot: n.Boot, Rest: n.Rest, Limit: fleet.LimitReport{Known: n.LimitKnown, Rate: n.Limit, Age: n.LimitAge},
				Leaving: fleet.LeavingReport{Known: n.LeavingKnown, Leaving: n.Leaving, Age: n.LeavingAge},
			}
		}
	}
	return withCold(servers, list)
}

func encodeSummaries(list []fleet.Summary) []summary {
	var cells []summary
	for _, s := range list {
		cells = append(cells, summary{
			Domain: s.Domain, CellIndex: s.Cell.Index, CellCount: s.Cell.Count, Partial: s.Partial, Age: s.Age, Servers: encodeWork(s.Servers),
			Notices: encodeNotices(s.Servers),
		})
	}
	return cells
}

func decodeSummary(s summary) fleet.Summary {
	return fleet.Summary{
		Domain: s.Domain, Cell: fleet.Cell{Index: s.CellIndex, Count: s.CellCount}, Partial: s.Partial, Age: s.Age,
		Servers: withNotices(decodeWork(s.Servers), s.Notices),
	}
}

func encodeSuspects(list []quarantine.Suspect, now clock.Millis) []suspect {
	var suspects []suspect
	if starts := encodeStarts(list, now); len(starts.Deaths) > 0 {
		suspects = append(suspects, starts)
	}
	for _, s := range list {
		encoded := suspect{Fingerprint: s.Fingerprint[:], Position: s.Position}
		for _, d := range s.Deaths {
			encoded.Deaths = append(encoded.Deaths, death{Upstream: d.Upstream, Age: now - d.At, Silence: d.Silence, Cleared: d.Cleared})
		}
		suspects = append(suspects, encoded)
	}
	return suspects
}

func decodeSuspects(list []suspect, now clock.Millis) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	starts := decodeStarts(list)
	for _, w := range list {
		if len(w.Fingerprint) != len(quarantine.Fingerprint{}) {
			continue
		}
		decoded := quarantine.Suspect{Fingerprint: quarantine.Fingerprint(w.Fingerprint), Position: w.Position}
		for _, d := range w.Deaths {
			decoded.Deaths = append(decoded.Deaths, quarantine.Death{
				Upstream: d.Upstream, Boot: starts.bootOf(d), At: now - d.Age, Silence: d.Silence, Cleared: d.Cleared,
			})
		}
		suspects = append(suspects, decoded)
	}
	return suspects
}

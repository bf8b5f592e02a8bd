package gossip

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

// message is a datagram.
type message struct {
	_        struct{} `cbor:",toarray"`
	From     poplarwinch.InstanceID
	Domain   poplarwinch.FailureDomain
	Boot     int64
	Sequence uint64
	Versions map[string]replica.Version
	Servers  []serverWork
	// Waiting is the number of the sender's requests that wait for a server.
	Waiting  int
	Suspects []suspect
	// OwnWork says that Servers and Waiting are told.
	OwnWork bool
	// Domains is the work of all instances on the servers of whole failure domains.
	Domains []domainWork
	// Follows says that the sender follows the platform's tables itself.
	Follows bool
	// Failing says that the sender can't read the tables itself.
	Failing bool
	// Leaving says that the sender stops and has no more work.
	Leaving bool
}

// serverWork is the sender's work on one server.
type serverWork struct {
	_        struct{} `cbor:",toarray"`
	ID       poplarwinch.UpstreamID
	Requests int
	Decoding int
	Readers  int
	Read     clock.Millis
	Due      clock.Millis
	// Pending and PendingDue are those of fleet.Load.
	Pending    clock.Millis
	PendingDue clock.Millis
	MinPause   clock.Millis
	MaxPause   clock.Millis
	Memory     poplarwinch.Tokens
	Submitted  clock.Millis
	Down       bool
}

// domainWork is the work of all instances on the servers of one failure domain.
type domainWork struct {
	_       struct{} `cbor:",toarray"`
	Domain  poplarwinch.FailureDomain
	Servers []serverWork
}

// suspect is a request that ran on servers when they died.
type suspect struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte
	Deaths      []death
}

// death is the end of a server; Age is the time since, as clocks of instances differ.
type death struct {
	_        struct{} `cbor:",toarray"`
	Upstream poplarwinch.UpstreamID
	Age      clock.Millis
}

func encodeWork(r fleet.Report) []serverWork {
	list := make([]serverWork, 0, len(r.Servers))
	for _, s := range r.Servers {
		l := s.Load
		list = append(list, serverWork{
			ID: s.ID, Requests: l.Requests, Decoding: l.Decoding, Readers: l.Readers, Read: l.Read, Pending: l.Pending, PendingDue: l.PendingDue, Due: l.Due,
			MinPause: l.MinPause, MaxPause: l.MaxPause, Memory: l.Memory, Submitted: s.Submitted, Down: s.Down,
		})
	}
	return list
}

func decodeWork(list []serverWork) fleet.Report {
	var r fleet.Report
	for _, s := range list {
		r.Servers = append(r.Servers, fleet.ServerWork{ID: s.ID, Submitted: s.Submitted, Down: s.Down, Load: fleet.Load{
			Requests: s.Requests, Decoding: s.Decoding, Readers: s.Readers, Read: s.Read, Pending: s.Pending, PendingDue: s.PendingDue, Due: s.Due,
			MinPause: s.MinPause, MaxPause: s.MaxPause, Memory: s.Memory,
		}})
	}
	return r
}

func encodeDomains(list []fleet.DomainWork) []domainWork {
	var domains []domainWork
	for _, d := range list {
		domains = append(domains, domainWork{Domain: d.Domain, Servers: encodeWork(d.Report)})
	}
	return domains
}

func encodeSuspects(list []quarantine.Suspect, now clock.Millis) []suspect {
	var suspects []suspect
	for _, s := range list[max(0, len(list)-maxSuspects):] {
		w := suspect{Fingerprint: s.Fingerprint[:]}
		for _, d := range s.Deaths {
			w.Deaths = append(w.Deaths, death{Upstream: d.Upstream, Age: now - d.At})
		}
		suspects = append(suspects, w)
	}
	return suspects
}

func decodeSuspects(list []suspect, now clock.Millis) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, w := range list {
		if len(w.Fingerprint) != len(quarantine.Fingerprint{}) {
			continue
		}
		s := quarantine.Suspect{Fingerprint: quarantine.Fingerprint(w.Fingerprint)}
		for _, d := range w.Deaths {
			s.Deaths = append(s.Deaths, quarantine.Death{Upstream: d.Upstream, At: now - d.Age})
		}
		suspects = append(suspects, s)
	}
	return suspects
}

package gossip

import (
	"net/netip"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// encodeCold returns what a report says of cold servers, as notices with the complement of Boot. Instances of the version before ignore
// these as notices of another process; a further element of the datagram would make them drop it whole.
func encodeCold(servers []fleet.ServerWork) []serverNotice {
	var list []serverNotice
	for i := range servers {
		if c := &servers[i].Cold; *c != (fleet.ColdReport{}) {
			list = append(list, serverNotice{ID: servers[i].ID, Boot: ^c.Boot, Sent: c.Sent, LeavingKnown: c.Known, LeavingAge: c.Age, Rest: c.Left})
		}
	}
	return list
}

// withCold adds what a message says of cold servers to the work on the same servers.
func withCold(servers []fleet.ServerWork, list []serverNotice) []fleet.ServerWork {
	for _, n := range list {
		i := slices.IndexFunc(servers, func(s fleet.ServerWork) bool { return s.ID == n.ID })
		if i >= 0 && n.Boot < 0 && n.Rest >= 0 {
			servers[i].Cold = fleet.ColdReport{Boot: ^n.Boot, Sent: n.Sent, Coldness: fleet.Coldness{Known: n.LeavingKnown, Left: n.Rest}, Age: n.LeavingAge}
		}
	}
	return servers
}

// coldServiceRest marks a notice that is about a service, which ID names.
const coldServiceRest clock.Millis = -1

// encodeColdServices returns what a report says of services with cold servers, as notices; see encodeCold.
func encodeColdServices(services []fleet.ColdService) []serverNotice {
	var list []serverNotice
	for _, s := range services {
		list = append(list, serverNotice{
			ID: poplarwinch.UpstreamID(s.Service), Boot: -1, LimitKnown: s.Wanted, LimitAge: clock.Millis(s.LentTo), Rest: coldServiceRest,
		})
	}
	return list
}

func decodeColdServices(list []serverNotice) []fleet.ColdService {
	var services []fleet.ColdService
	for _, n := range list {
		if n.Boot < 0 && n.Rest == coldServiceRest {
			services = append(services, fleet.ColdService{Service: poplarwinch.ServiceName(n.ID), Wanted: n.LimitKnown, LentTo: uint32(n.LimitAge)})
		}
	}
	return services
}

// CellMembers returns the instances of the own cell that were known in the last 30 s, including this one; see Sharers. For as long after
// the start, seeds that were not heard count as members, and an instance that has heard nobody counts its cell as full: it may be cut off
// from instances that it doesn't know of. The result must not be changed.
func (g *Gossip) CellMembers() []poplarwinch.InstanceID {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	members := []poplarwinch.InstanceID{g.self.ID}
	heard, expected := false, len(g.unidentified) > 0
	for _, p := range g.peers {
		heard = heard || p.heardAt != 0
		recent := g.alive(p) || !p.left && now-max(p.heardAt, p.addedAt) < sharerRetention
		if recent && g.isNear(p) {
			members = append(members, p.ID)
		}
		expected = expected || recent
	}
	if now-g.startedAt >= sharerRetention {
		return members
	}
	for address := range g.unidentified {
		members = append(members, unheardMember(address))
	}
	for n := uint16(0); expected && !heard && len(members) < maxCellInstances; n++ {
		members = append(members, unheardMember(netip.AddrPortFrom(netip.IPv4Unspecified(), n)))
	}
	return members
}

// unheardMember returns a name for an instance that is known by its address only. Slots of such instances are not used by others.
func unheardMember(address netip.AddrPort) poplarwinch.InstanceID {
	return poplarwinch.InstanceID("?" + address.String())
}

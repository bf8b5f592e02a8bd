package gossip

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// Guards against reports on cold servers that get lost or changed on the way or hide the notices of the same server, and against servers
// without coldness that take further bytes.
func TestColdServersInDatagrams(t *testing.T) {
	notice := fleet.NoticeReport{Boot: 7, Limit: fleet.LimitReport{Known: true, Rate: 2, Age: 3}}
	cold := fleet.ColdReport{Boot: 7, Sent: 5, Coldness: fleet.Coldness{Known: true, Left: 900}, Age: 4}
	list := []fleet.ServerWork{
		{ID: "a", Cold: cold}, {ID: "b", Sent: 9, Notice: notice, Cold: cold}, {ID: "c", Sent: 9, Notice: notice}, {ID: "d", Cold: fleet.ColdReport{Sent: 1}}, {ID: "e"},
	}
	services := []fleet.ColdService{{Service: "a", Wanted: true}, {Service: "other", LentTo: 1<<32 - 1}}
	notices := append(encodeColdServices(services), encodeNotices(list)...)
	if decoded := withNotices(decodeWork(encodeWork(list)), notices); !slices.Equal(decoded, list) {
		t.Errorf("got %+v, want %+v", decoded, list)
	}
	if decoded := decodeColdServices(notices); !slices.Equal(decoded, services) {
		t.Errorf("got %+v, want %+v", decoded, services)
	}
	if n := len(encodeNotices(list[2:3])); n != 1 {
		t.Errorf("a limited server takes %d entries", n)
	}
	if n := len(encodeNotices(list[4:])); n != 0 {
		t.Errorf("a server without notices takes %d entries", n)
	}
}

// Guards against an instance that divides the rate of cold servers among too few: those that it no longer hears, those that it has not
// heard yet, and those that it doesn't know.
func TestCellMembers(t *testing.T) {
	time := clock.NewManual(1_000_000)
	s := newSharing(t, time.Clock(), 1, 1)
	g := s.gossip
	want := func(step string, n int) {
		t.Helper()
		if list := g.CellMembers(); len(list) != n || !slices.Contains(list, g.self.ID) {
			t.Errorf("%s: got %v, want %d", step, list, n)
		}
	}
	want("nobody is expected", 1)
	seed := netip.MustParseAddrPort("10.0.0.9:7340")
	g.Add([]Member{{Address: seed}})
	want("a seed was not heard", maxCellInstances)
	hear := func(id poplarwinch.InstanceID, domain poplarwinch.FailureDomain, sequence uint64, leaving bool) {
		g.receive(netip.AddrPortFrom(seed.Addr(), 7340+uint16(id[0])), &message{From: id, Domain: domain, Boot: 1, Sequence: sequence, CellCount: 1, Leaving: leaving})
	}
	hear("b", "a", 1, false)
	hear("c", "a", 1, false)
	hear("d", "elsewhere", 1, false)
	want("two were heard, one of another domain, and a seed was not", 4)
	time.Advance(29_000)
	want("silent for 29 s", 4)
	hear("c", "a", 2, true)
	want("one has left", 3)
	time.Advance(2000)
	want("silent for 31 s", 1)
}

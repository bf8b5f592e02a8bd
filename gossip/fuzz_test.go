package gossip

import (
	"net/netip"
	"testing"

	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/replica"
)

// FuzzDatagram guards against datagrams that crash an instance, make it load a table from a part of it, or divide by a number of cells
// that makes no sense.
func FuzzDatagram(f *testing.F) {
	sender, table := holder(f, 5)
	table.Merge(replica.Batch{Rows: []replica.Row{{Key: "b", Version: 8}}, Version: 9})
	m := sender.message()
	m.From, m.Domain, m.Sequence, m.OwnWork = "j", "north", 1, true
	m.Servers = []serverWork{{ID: "e1", Requests: 1}}
	m.Summaries = []summary{{Domain: "south", CellIndex: 1, CellCount: 2, Servers: m.Servers}}
	m.Changes = []tableChanges{{Table: "servers", After: at(5), To: at(9), Rows: []replica.Row{{Key: "b", Version: 8}}}}
	data, err := sender.codec.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x89\x61a"))
	m.CellIndex, m.CellCount = -5, -1
	m.Summaries[0].CellCount, m.Summaries[0].CellIndex = -3, 1<<40
	if data, err = sender.codec.Marshal(m); err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		g, own := holder(t, 0)
		g.fleet.Apply([]fleet.Server{{ID: "e1", Service: "pool", Domain: "north"}, {ID: "e2", Service: "pool", Domain: "south"}})
		var m message
		if g.codec.Unmarshal(data, &m) != nil {
			return
		}
		m.Positions, m.Generations = nil, nil // would start calls to the address
		g.receive(netip.MustParseAddrPort("127.0.0.1:9"), &m)
		g.updateCell()
		_ = g.fleet.Candidates("pool")
		_ = g.fleet.Summaries()
		for _, p := range g.peers {
			_ = g.exchangesSummaries(p)
			_ = isAffected(p, []fleet.Place{{Domain: "north", Position: 1, Total: 3}})
		}
		if _, loaded := own.Position(); loaded {
			t.Error("a table was loaded from changes")
		}
	})
}

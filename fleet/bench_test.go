package fleet_test

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// BenchmarkCandidates shows what the view of the fleet that each decision starts from costs by the number of engines in five failure
// domains and the number of cells of each, with a tenth as many peers, each with requests on eight engines.
func BenchmarkCandidates(b *testing.B) {
	for _, size := range []struct{ engines, cells int }{{112, 1}, {300, 1}, {2000, 1}, {2000, 4}} {
		engines := size.engines
		b.Run(fmt.Sprintf("%d-engines-%d-cells", engines, size.cells), func(b *testing.B) {
			f := fleet.New(fleet.WithClock(clock.NewManual(1000).Clock()), fleet.WithDomain("d0"))
			var list []fleet.Server
			for i := range engines {
				domain := poplarwinch.FailureDomain(fmt.Sprintf("d%d", i%5))
				list = append(list, fleet.Server{ID: poplarwinch.UpstreamID(fmt.Sprintf("engine-%d", i)), Domain: domain, Service: "pool", Slots: 10})
			}
			f.Apply(list)
			f.SetCell(fleet.Cell{Count: size.cells})
			for p := range engines / 10 {
				var r fleet.Report
				for i := range 8 {
					r.Servers = append(r.Servers, fleet.ServerWork{ID: list[(p*8+i)*5%engines].ID, Load: fleet.Load{Requests: 1, Decoding: 1, MinPause: 250}})
				}
				f.Merge(poplarwinch.InstanceID(fmt.Sprintf("peer-%d", p)), r)
			}
			b.ReportAllocs()
			for b.Loop() {
				f.Candidates("pool")
			}
		})
	}
}

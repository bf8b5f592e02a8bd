package fleet_test

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// BenchmarkCandidates shows what the view of the fleet that each decision starts from costs by the number of engines, with a
// tenth as many peers in the failure domain, each with requests on eight engines.
func BenchmarkCandidates(b *testing.B) {
	for _, engines := range []int{112, 300, 2000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := fleet.New(fleet.WithClock(clock.NewManual(1000).Clock()), fleet.WithDomain("d0"))
			var list []fleet.Server
			for i := range engines {
				domain := poplarwinch.FailureDomain(fmt.Sprintf("d%d", i%5))
				list = append(list, fleet.Server{ID: poplarwinch.UpstreamID(fmt.Sprintf("engine-%d", i)), Domain: domain, Service: "pool", Slots: 10})
			}
			f.Apply(list)
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

package dispatch

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/queue"
	"github.com/poplarwinch/poplarwinch/route"
)

// BenchmarkDecision shows what a decision costs among 2,000 engines in five failure domains with four cells each, of which an instance
// sees the hundred of its cell, by the number of requests that wait at the instance, and without an order of them. 31 peers with waiting
// requests report to it.
func BenchmarkDecision(b *testing.B) {
	for name, waiting := range map[string]int{"no-order": 0, "none-waiting": 0, "500-waiting": 500} {
		b.Run(name, func(b *testing.B) {
			c := clock.NewManual(1000).Clock()
			f := fleet.New(fleet.WithClock(c), fleet.WithDomain("d0"))
			var list []fleet.Server
			for n := range 2000 {
				domain := poplarwinch.FailureDomain(fmt.Sprintf("d%d", n%5))
				list = append(list, fleet.Server{ID: poplarwinch.UpstreamID(fmt.Sprint("engine-", n)), Domain: domain, Service: "pool", Slots: 16})
			}
			f.Apply(list)
			f.SetCell(fleet.Cell{Count: 4})
			for n := range 31 {
				r := fleet.Report{Waiting: []fleet.WaitingCount{{Service: "pool", Counts: fleet.ClassCounts{1, 2, 3, 4}}}}
				for k := range 8 {
					r.Servers = append(r.Servers, fleet.ServerWork{ID: list[(n*8+k)*5].ID, Load: fleet.Load{Requests: 1, Decoding: 1, MinPause: 250}})
				}
				f.Merge(poplarwinch.InstanceID(fmt.Sprint("peer-", n)), r)
			}
			table := (&route.Table{Pools: map[poplarwinch.ServiceName]route.Pool{"pool": {
				Slots: 16, MemoryTokens: 405_000, StepMillis: 1.31, PrefillRate: 154, PairMillis: 0.162, ChunkTokens: 2048, Stride: 34,
			}}}).Compile()
			d := New(WithClock(c), WithFleet(f), WithDomain("d0"), WithLog(&log.Logger{Handler: discard.New()}), WithActive(func() *route.Table { return table }))
			x := &run{d: d, log: d.log, Request: &Request{
				Service: "pool", Customer: "fresh", PromptTokens: 5000, MaxAnswerTokens: 1300, Started: 1000, Deadline: 11_000,
				Priority: &route.Priority{Class: 2, Ordered: true}, Route: &route.Route{Name: "x", Target: 300, MaxPause: 250, Kind: route.KindStreaming},
			}}
			for n := range waiting {
				d.waiting.queue.Add(&queue.Item{
					Service: "pool", Customer: poplarwinch.CustomerID(fmt.Sprint(n % 50)), Class: n % 4, Route: "x", Cost: 30,
					Arrived: 900, Target: 1200, GivesUp: 2900,
				})
			}
			item := x.item()
			b.ReportAllocs()
			for b.Loop() {
				var selected *selection
				var err error
				if name == "no-order" {
					selected, err = x.choose()
				} else {
					selected, _, err = x.chooseInOrder(item, func() bool { return d.waiting.mayOvertake(item) })
				}
				if selected == nil || err != nil {
					b.Fatal(selected, err)
				}
				selected.ticket.End()
			}
		})
	}
}

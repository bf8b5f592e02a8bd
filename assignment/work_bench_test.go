package assignment_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/fleet"
)

func BenchmarkLeastWork(b *testing.B) {
	for _, servers := range []int{7, 100} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			e := cost.New(clock.Monotonic(), "a")
			r := &cost.Request{Service: "bookings", Route: "r", Customer: "c", Method: "POST", Size: 300}
			var list []fleet.Candidate
			for n := range servers {
				s := fleet.Server{ID: poplarwinch.UpstreamID(fmt.Sprint("s", n)), Domain: "a", Slots: 6}
				list = append(list, fleet.Candidate{Server: s, Load: fleet.Load{Requests: n % 5}})
				for range 3 {
					e.Begin(r, cost.Server{ID: s.ID, Domain: s.Domain}).Complete(clock.Monotonic().Now() - 30)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				assignment.LeastWork(list, "a", 1000, 1000, learnedWork(e, r, rand.IntN))
			}
		})
		b.Run(fmt.Sprint(servers, "-fewest"), func(b *testing.B) {
			list := make([]fleet.Candidate, servers)
			for b.Loop() {
				assignment.Server(list, "a", 1000, 1000)
			}
		})
	}
}

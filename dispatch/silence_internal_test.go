package dispatch

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/reservation"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against the choice of a successor that reads, beside the attempt, whether the answer has begun. Only the race detector sees it.
func TestSuccessorIsChosenBesideTheAttempt(t *testing.T) {
	for name, prompt := range map[string]poplarwinch.Tokens{"plain": 0, "reserved memory": 500_000} {
		c := clock.Monotonic()
		l := &log.Logger{Handler: discard.New()}
		f := fleet.New(fleet.WithClock(c), fleet.WithDomain("north"))
		f.Apply([]fleet.Server{
			{ID: "e1", Domain: "north", Service: "pool", Slots: 16},
			{ID: "e2", Domain: "north", Service: "pool", Slots: 16},
			{ID: "e3", Domain: "north", Service: "pool", Slots: 16},
			{ID: "e4", Domain: "north", Service: "pool", Slots: 16},
		})
		table := (&route.Table{Pools: map[poplarwinch.ServiceName]route.Pool{"pool": {
			Slots: 16, MemoryTokens: 405_000, StepMillis: 1.31, PrefillRate: 154, PairMillis: 0.162, ChunkTokens: 2048, Stride: 34,
		}}}).Compile()
		builder := reservation.NewBuilder("self", c, l)
		refused := 0
		builder.Reserve = func(_ context.Context, address string, _ engine.Reservation) error {
			refused++
			return &engine.RefusedError{Address: address, Status: http.StatusConflict}
		}
		builder.Release = func(context.Context, string, engine.ReservationID) error { return nil }
		d := New(WithClock(c), WithLog(l), WithFleet(f), WithDomain("north"), WithActive(func() *route.Table { return table }), WithReservations(builder, 3000))
		now := c.Now()
		x := &run{d: d, log: l, reply: Reply{Begin: func(*Answer) {}}, Request: &Request{
			Service: "pool", PromptTokens: prompt, MaxAnswerTokens: 1300, Started: now, Deadline: now + 15_000, Priority: &route.Priority{Ordered: true},
			Route: &route.Route{Name: "x", Target: 10_000, MaxPause: 1000, Kind: route.KindStreaming},
		}}
		silent := &selection{first: f.Candidates("pool")[0].Server, ticket: f.Begin(fleet.Work{First: "e1"})}
		var runs sync.WaitGroup
		runs.Go(func() {
			selected := x.chooseOther(silent)
			if selected == nil {
				t.Errorf("%s: no successor chosen", name)
				return
			}
			if selected.plan.Shared {
				_, _ = x.reserve(t.Context(), selected)
			}
		})
		x.begin(&Answer{})
		runs.Wait()
		if (refused > 0) != (prompt > 0) {
			t.Errorf("%s: %d reservations refused", name, refused)
		}
	}
}

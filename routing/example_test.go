package routing_test

import (
	"fmt"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

func ExampleRouter_Engine() {
	c := clock.NewManual(1_000_000).Clock()
	registry := upstream.New(upstream.WithClock(c))
	registry.Apply([]upstream.Listed{{ID: "engine-1", Kind: upstream.KindEngine, Address: "127.0.0.1:8000", Ready: true}})
	registry.Merge([]upstream.Observation{{
		ID: "engine-1", At: c.Now(), State: upstream.StateUp, Models: []upstream.LoadedModel{{Name: "drafting"}},
		Load: upstream.Load{At: c.Now(), WaitingPrefillTokens: 10_000, PrefillTokensPerSecond: 20_000},
	}})
	prompt := &routing.Prompt{Model: "drafting", Tokens: 2000, Class: routing.ClassOf(2000)}
	decision, err := routing.New(routing.WithClock(c)).Engine(registry.Snapshot(), prompt)
	if err != nil {
		fmt.Println(err)
		return
	}
	ticket := decision.Upstream.Begin(decision.Candidates[0].Work(prompt))
	defer ticket.End()
	fmt.Println(decision.Upstream.ID, decision.Reason, decision.Predicted)
	// Output: engine-1 only-candidate 600
}

package placement

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// TestOrderExpiresDuringPause guards against engines accepting an order whose sender checked the lease and was then
// paused until after the lease had expired. It also checks the log entry of the decision.
func TestOrderExpiresDuringPause(t *testing.T) {
	for name, pause := range map[string]clock.Millis{"no pause": 0, "pause past the lease": 15 * clock.Second} {
		t.Run(name, func(t *testing.T) {
			m, entries := clock.NewManual(testNow), memory.New()
			p := New(m.Clock(), &log.Logger{Handler: entries, Level: log.InfoLevel})
			p.Valid = func(margin clock.Millis) (uint64, bool) {
				if margin > 0 {
					defer m.Advance(pause)
				}
				return 7, true
			}
			p.Active = func() *manifest.Manifest { return newManifest("a@1", nil, 1) }
			p.Engines = func() []Engine { return []Engine{{ID: "0", Up: true, At: m.Now()}} }
			p.Demand = func() map[poplarwinch.ModelName]int64 { return nil }
			p.ReadModels = func(context.Context, Engine) ([]upstream.LoadedModel, error) { return nil, nil }
			orders := 0
			p.Order = func(_ context.Context, _ Engine, o Order) error {
				orders++
				if valid := o.ValidUntil >= m.Now(); valid != (pause == 0) {
					t.Errorf("the order is valid until %d at %d", o.ValidUntil, m.Now())
				}
				return nil
			}
			p.round(t.Context())
			if orders != 1 || len(entries.Entries) != 2 {
				t.Fatalf("%d orders and %d log entries, want 1 and 2", orders, len(entries.Entries))
			}
			decision := entries.Entries[1]
			for _, field := range []string{"upstream", "wanted", "observed", "reason", "fencing-number"} {
				if _, ok := decision.Fields[field]; !ok || decision.Message != "placement decision" {
					t.Errorf("log entry %q lacks %s", decision.Message, field)
				}
			}
		})
	}
}

// TestOrderFollowsReading guards against an order that reverts a change by an earlier holder or a restart: the engine's
// models changed after the observation that the decision was based on.
func TestOrderFollowsReading(t *testing.T) {
	m := clock.NewManual(testNow)
	p := New(m.Clock(), &log.Logger{Handler: memory.New(), Level: log.InfoLevel})
	p.Valid = func(clock.Millis) (uint64, bool) { return 7, true }
	p.Active = func() *manifest.Manifest { return newManifest("a@1", nil, 1) }
	p.Engines = func() []Engine { return []Engine{{ID: "0", Up: true, At: m.Now(), Models: parseModels("z@1")}} }
	p.Demand = func() map[poplarwinch.ModelName]int64 { return nil }
	loaded, orders := parseModels("a@1 z@1"), 0
	p.ReadModels = func(context.Context, Engine) ([]upstream.LoadedModel, error) { return loaded, nil }
	p.Order = func(context.Context, Engine, Order) error { orders++; return nil }
	if p.round(t.Context()); orders != 0 {
		t.Error("an order was sent on the basis of an outdated observation")
	}
	loaded = parseModels("z@1")
	if p.round(t.Context()); orders != 1 {
		t.Errorf("%d orders after the observation was confirmed, want 1", orders)
	}
}

package window

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Property tests use a fixed seed, so that every run checks the same cases.
func init() { flag.Set("rapid.seed", "1") }

// Guards against amounts that are lost or counted twice when buckets expire or are cleared out of order.
func TestEveryAmountLeavesTheCounterOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counter := New(100, 16)
		now, held := clock.Millis(1_000_000), int64(0)
		var epochs []int64
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				epoch, expired := counter.Add(now, 7)
				epochs = append(epochs, epoch)
				held += 7 - expired
			},
			"remove": func(t *rapid.T) {
				if len(epochs) > 0 && counter.Remove(rapid.SampledFrom(epochs).Draw(t, "epoch"), 7) {
					held -= 7
				}
			},
			"clear": func(t *rapid.T) { held -= counter.Clear(now, now-clock.Millis(rapid.IntRange(0, 3000).Draw(t, "lag"))) },
			"time":  func(t *rapid.T) { now += clock.Millis(rapid.IntRange(0, 2000).Draw(t, "span")) },
			"": func(t *rapid.T) {
				if recent := counter.Sum(now, 1600); held < 0 || recent > held {
					t.Fatalf("%d held, %d of them within the window", held, recent)
				}
			},
		})
		var left int64
		for i := range counter.buckets {
			left += int64(counter.buckets[i].Load() & amountMask)
		}
		if left != held {
			t.Fatalf("the buckets hold %d, want %d", left, held)
		}
	})
}

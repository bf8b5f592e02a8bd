package instance_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/poplarwinch/poplarwinch/clock"
	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	"github.com/poplarwinch/poplarwinch/instance"
)

// TestFinalDate guards against cutting off requests when the service's final date passes, against new requests after
// it, and against a dependency on the platform for that.
func TestFinalDate(t *testing.T) {
	t.Parallel()
	var aheadMillis atomic.Int64
	shifted := clock.System().WithOffset(func() clock.Millis { return clock.Millis(aheadMillis.Load()) })
	cluster := newCluster(t, clusterOptions{
		engines: 4, engine: []emulatedengine.Option{emulatedengine.WithStep(10), emulatedengine.WithMemory(100_000)},
		instance: []instance.Option{instance.WithClock(shifted)},
	})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	lengths := []int{100, 4_000, 40_000, 600_000}
	results := make(chan error, len(lengths))
	for _, length := range lengths {
		go func() { results <- checkAnswer(n, strings.Repeat("x", length), 100) }()
	}
	cluster.eventually("all prompts are running", func() bool {
		runs := 0
		for _, e := range cluster.engines {
			for _, r := range e.Record().Runs {
				if r.FirstToken != 0 {
					runs++
				}
			}
		}
		return runs == len(lengths)
	})
	cluster.table.SetFaults(fault.Faults{Outage: fault.Silent})
	cluster.roster.SetFaults(fault.Faults{Outage: fault.Silent})
	aheadMillis.Store(int64(clock.Hour) * 24 * 365 * 100)
	r := post(t, n.caller, "/v1/completions", testKey, `{"model":"drafting","prompt":"too late"}`)
	if data, _ := io.ReadAll(r.Body); r.StatusCode != http.StatusGone || !strings.Contains(string(data), `"outcome":"not-run"`) {
		t.Errorf("after the final date: status %d, %s", r.StatusCode, data)
	}
	for range lengths {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	ran := 0
	for _, e := range cluster.engines {
		ran += len(e.Record().Runs)
	}
	if ran != len(lengths) {
		t.Error(fmt.Errorf("%d prompts ran, want %d", ran, len(lengths)))
	}
}

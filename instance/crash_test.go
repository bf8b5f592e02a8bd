package instance_test

import (
	"fmt"
	"sync"
	"testing"

	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
)

// crashLimit is the number of engines that one request may crash in all.
const crashLimit = 2

// TestCrashingRequest guards against a request that crashes one engine after another, sent again and again through
// several instances, and against losing the innocent prompts that shared those engines.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(10)}
	w := newWorld(t, worldOptions{engines: 6, engine: slow})
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, w.start(fmt.Sprintf("entry-%d", i), "domain-a", nodes...))
	}
	w.commit(nodes[0], manifestText(), 0)
	for _, n := range nodes {
		w.usable(n, 6)
	}
	for _, e := range w.engines {
		e.SetFaults(emulatedengine.Faults{CrashMarker: "crashes engines"})
	}
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			if err := tryAnswer(nodes[i%3], fmt.Sprintf("innocent prompt %d", i), 60); err != nil {
				t.Errorf("innocent prompt %d: %v", i, err)
			}
		})
	}
	w.eventually("the innocent prompts are running", func() bool {
		runs := 0
		for _, e := range w.engines {
			runs += len(e.Record().Runs)
		}
		return runs >= 12
	})
	for i := range 6 {
		group.Go(func() {
			for range 3 {
				if tryAnswer(nodes[i%3], "this one crashes engines", 4) == nil {
					t.Error("the crashing prompt was answered")
				}
			}
		})
	}
	group.Wait()
	crashed := 0
	for _, e := range w.engines {
		for _, r := range e.Record().Runs {
			if r.Crashed {
				crashed++
			}
		}
	}
	t.Logf("%d engines crashed", crashed)
	if crashed > crashLimit {
		t.Errorf("%d engines crashed, limit %d", crashed, crashLimit)
	}
}

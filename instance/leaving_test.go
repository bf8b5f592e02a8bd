package instance_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// leavingLimit is the time after which an upstream that is leaving gets no new work.
const leavingLimit = 3 * clock.Second

// TestLeavingUpstream guards against new work for an upstream that is leaving while the platform's list is out of reach
// and still names it, and against cutting off what runs there.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{engines: 3, engine: []emulatedengine.Option{emulatedengine.WithStep(5)}})
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, w.start(fmt.Sprintf("entry-%d", i), "domain-a", nodes...))
	}
	w.commit(nodes[0], manifestText(), 0)
	for _, n := range nodes {
		w.usable(n, 3)
	}
	w.roster.SetFaults(fault.Faults{Outage: fault.Silent})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				default:
				}
				if err := tryAnswer(n, fmt.Sprintf("prompt %d of %d", j, i), 40); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	left := clock.FromTime(time.Now())
	w.engines[0].SetFaults(emulatedengine.Faults{Leaving: true})
	time.Sleep((leavingLimit + clock.Second).Duration())
	close(stop)
	group.Wait()
	last, runs := clock.Millis(0), 0
	for _, r := range w.engines[0].Record().Runs {
		if r.Leaving {
			last, runs = max(last, r.Accepted-left), runs+1
		}
		if r.Failed != 0 || r.Cancelled != 0 {
			t.Errorf("stream %s was cut off", r.Stream)
		}
	}
	t.Logf("%d prompts accepted while leaving, the last one after %d ms", runs, last)
	if last > leavingLimit {
		t.Errorf("a prompt was accepted %d ms after the engine was leaving, limit %d ms", last, leavingLimit)
	}
}

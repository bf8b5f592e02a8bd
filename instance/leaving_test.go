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

// leavingLimit is the time after which an upstream that is leaving must get no new requests.
const leavingLimit = 3 * clock.Second

// TestLeavingUpstream guards against new requests for an upstream that is leaving while the instance list is
// unavailable and its last version still contains the upstream, and against cutting off the requests that run there.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 3, engine: []emulatedengine.Option{emulatedengine.WithStep(5)}})
	var instances []*testInstance
	for i := range 3 {
		instances = append(instances, cluster.startInstance(fmt.Sprintf("entry-%d", i), "domain-a", instances...))
	}
	cluster.commitManifest(instances[0], manifestText(), 0)
	for _, n := range instances {
		cluster.awaitUpstreams(n, 3)
	}
	cluster.roster.SetFaults(fault.Faults{Outage: fault.Silent})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, n := range instances {
		group.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				default:
				}
				if err := checkAnswer(n, fmt.Sprintf("prompt %d of %d", j, i), 40); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	leavingAt := clock.FromTime(time.Now())
	cluster.engines[0].SetFaults(emulatedengine.Faults{Leaving: true})
	time.Sleep((leavingLimit + clock.Second).Duration())
	close(stop)
	group.Wait()
	last, runs := clock.Millis(0), 0
	for _, r := range cluster.engines[0].Record().Runs {
		if r.Leaving {
			last, runs = max(last, r.Accepted-leavingAt), runs+1
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

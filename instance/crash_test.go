package instance_test

import (
	"fmt"
	"sync"
	"testing"

	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
)

// crashLimit is the number of engines that one request may crash in total.
const crashLimit = 2

// TestCrashingRequest guards against a request that crashes one engine after another when callers repeat it through
// several instances, and against the loss of innocent prompts that ran on those engines.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(10)}
	cluster := newCluster(t, clusterOptions{engines: 6, engine: slow})
	var instances []*testInstance
	for i := range 3 {
		instances = append(instances, cluster.startInstance(fmt.Sprintf("entry-%d", i), "domain-a", instances...))
	}
	cluster.commitManifest(instances[0], manifestText(), 0)
	for _, n := range instances {
		cluster.awaitUpstreams(n, 6)
	}
	for _, e := range cluster.engines {
		e.SetFaults(emulatedengine.Faults{CrashMarker: "crashes engines"})
	}
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			if err := checkAnswer(instances[i%3], fmt.Sprintf("innocent prompt %d", i), 60); err != nil {
				t.Errorf("innocent prompt %d: %v", i, err)
			}
		})
	}
	cluster.eventually("the innocent prompts are running", func() bool {
		runs := 0
		for _, e := range cluster.engines {
			runs += len(e.Record().Runs)
		}
		return runs >= 12
	})
	for i := range 6 {
		group.Go(func() {
			for range 3 {
				if checkAnswer(instances[i%3], "this one crashes engines", 4) == nil {
					t.Error("the crashing prompt was answered")
				}
			}
		})
	}
	group.Wait()
	crashed := cluster.crashedEngines()
	t.Logf("%d engines crashed", crashed)
	if crashed > crashLimit {
		t.Errorf("%d engines crashed, limit %d", crashed, crashLimit)
	}
}

package instance_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// restore takes the table, the object store and the instance list away for a second and brings them back as they were some time
// before that.
func (c *cluster) restore(age time.Duration) {
	c.t.Helper()
	for _, set := range []func(fault.Faults){c.table.SetFaults, c.objects.SetFaults, c.roster.SetFaults} {
		set(fault.Faults{Outage: fault.Silent})
	}
	const outage = time.Second
	time.Sleep(outage)
	restored := fault.Faults{Restore: clock.FromDuration(outage + age)}
	c.table.SetFaults(restored)
	c.objects.SetFaults(restored)
	c.roster.SetFaults(restored)
}

// Guards against a platform that is restored from an older copy: a confirmed manifest must stay in force and the next one must be
// accepted and in force everywhere in time, a call must not run twice, and an engine that the list lost must keep serving.
func TestPlatformRestoredFromOlderCopy(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 1, services: 1, domains: []string{"domain-a", "domain-b"}})
	var instances []*testInstance
	for i := range 4 {
		instances = append(instances, cluster.startInstance(fmt.Sprintf("entry-%d", i), "domain-"+string(rune('a'+i%2)), instances...))
	}
	cluster.commitManifest(instances[0], manifestText(), 0)
	awaitVersion := func(want uint64) {
		t.Helper()
		started := time.Now()
		cluster.eventually(fmt.Sprintf("version %d is active in all instances", want), func() bool {
			for _, n := range instances {
				if activeVersion(n) != want {
					return false
				}
			}
			return true
		})
		if took := time.Since(started); took > activationLimit.Duration() {
			t.Errorf("version %d was active everywhere after %v, limit %d ms", want, took, activationLimit)
		}
	}
	awaitVersion(1)
	const age = 2 * time.Second
	time.Sleep(age + time.Second)

	changed := strings.Replace(manifestText(), `"weight": 2`, `"weight": 3`, 1)
	if status := putManifest(t, instances[1], changed, 1, "second"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	awaitVersion(2)
	added := emulatedengine.New(emulatedengine.WithModels(emulatedengine.Model{Name: "drafting", Version: "1"}))
	cluster.engines = append(cluster.engines, added)
	cluster.addUpstream("engine-added", "engine", "drafting", "domain-a", added)
	cluster.roster.SetEndpoints(cluster.endpoints)
	cluster.awaitUpstreams(instances[0], 3)
	book := func(n *testInstance) int {
		return post(t, n.caller, "/services/bookings/bookings", testKey, `{"room":4}`, "Idempotency-Key", "restored").StatusCode
	}
	if status := book(instances[0]); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}

	cluster.restore(age)
	restoredAt := time.Now()
	cluster.eventually("the next commit is accepted", func() bool {
		return putManifest(t, instances[2], manifestText(), 2, "third") == http.StatusOK
	})
	awaitVersion(3)
	time.Sleep(3*time.Second - time.Since(restoredAt))
	if status := book(instances[3]); status != http.StatusOK {
		t.Errorf("the repeat has status %d, want the recorded answer", status)
	}
	if runs := len(cluster.services[0].Record().Executions); runs != 1 {
		t.Errorf("the call ran %d times", runs)
	}
	cluster.awaitUpstreams(instances[0], 3)
	fresh := cluster.startInstance("entry-fresh", "domain-a")
	cluster.awaitReady(fresh)
	if v := activeVersion(fresh); v != 3 {
		t.Errorf("an instance that starts without peers has version %d, want 3", v)
	}
}

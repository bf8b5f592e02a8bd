package instance_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// activationLimit is the time within which an accepted manifest must be active in all instances.
const activationLimit = 8 * clock.Second

// activeVersion returns the active manifest version of an instance, or 0 if there is none or no answer.
func activeVersion(n *testInstance) uint64 {
	response, err := http.Get("http://" + n.operator + "/status")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var status struct {
		Manifest struct{ Version uint64 }
	}
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status.Manifest.Version
}

// TestConfigurationEverywhere guards against an accepted manifest that is activated late or not at all by an instance,
// against a return to an earlier one, and against two accepted commits that replace the same version.
func TestConfigurationEverywhere(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 3, domains: []string{"domain-a", "domain-b", "domain-c"}})
	var instances []*testInstance
	for i := range 9 {
		instances = append(instances, cluster.startInstance(fmt.Sprintf("entry-%d", i), "domain-"+string(rune('a'+i%3)), instances...))
	}
	cluster.commitManifest(instances[0], manifestText(), 0)
	awaitEverywhere := func(want uint64) {
		t.Helper()
		started := time.Now()
		cluster.eventually(fmt.Sprintf("version %d is active in all instances", want), func() bool {
			for _, n := range instances {
				if activeVersion(n) < want {
					return false
				}
			}
			return true
		})
		took := clock.FromDuration(time.Since(started))
		t.Logf("version %d active in %d instances after %d ms", want, len(instances), took)
		if took > activationLimit {
			t.Errorf("activation took %d ms, limit %d ms", took, activationLimit)
		}
	}
	awaitEverywhere(1)

	t.Run("racing operators", func(t *testing.T) {
		var group sync.WaitGroup
		var mutex sync.Mutex
		accepted := 0
		for i, n := range instances[:4] {
			group.Go(func() {
				text := strings.Replace(manifestText(), `"weight": 2`, fmt.Sprintf(`"weight": %d`, 3+i), 1)
				status := putManifest(t, n, text, 1, fmt.Sprintf("racing-%d", i))
				if status != http.StatusOK && status != http.StatusConflict {
					t.Errorf("status %d", status)
				}
				mutex.Lock()
				defer mutex.Unlock()
				if status == http.StatusOK {
					accepted++
				}
			})
		}
		group.Wait()
		if accepted != 1 {
			t.Fatalf("%d commits accepted, want 1", accepted)
		}
		awaitEverywhere(2)
	})
	t.Run("reply of the table lost", func(t *testing.T) {
		cluster.table.SetFaults(fault.Faults{AppliesTo: fault.Writes, DropReply: true, Limit: 1})
		if status := putManifest(t, instances[1], manifestText(), 2, "lost-reply"); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		cluster.table.SetFaults(fault.Faults{})
		awaitEverywhere(3)
	})
	t.Run("table restored to an older state", func(t *testing.T) {
		cluster.table.SetFaults(fault.Faults{Restore: clock.FromDuration(2 * time.Second)})
		time.Sleep(3 * time.Second)
		for _, n := range instances {
			if v := activeVersion(n); v < 3 {
				t.Errorf("%s went back to version %d", n.id, v)
			}
		}
	})
	t.Run("new instance during an outage of the table", func(t *testing.T) {
		cluster.table.SetFaults(fault.Faults{Outage: fault.Silent})
		fresh := cluster.startInstance("entry-fresh", "domain-a", instances[0])
		cluster.awaitReady(fresh)
		if v := activeVersion(fresh); v < 3 {
			t.Errorf("new instance has version %d, want at least 3", v)
		}
		expectAnswer(t, fresh, "served without the table", 4, true)
	})
}

func putManifest(t *testing.T, n *testInstance, text string, replaces int, id string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+n.operator+"/manifest", strings.NewReader(text))
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Header.Set("Replaces", fmt.Sprint(replaces))
	request.Header.Set("Commit-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

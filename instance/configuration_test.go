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

// effectLimit is the time within which an accepted manifest is in effect everywhere.
const effectLimit = 8 * clock.Second

// version returns the active version of an instance, or 0.
func version(n *node) uint64 {
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

// TestConfigurationEverywhere guards against an accepted manifest that is late or missing in an instance, against a
// return to an earlier one, and against two accepted commits that replace the same version.
func TestConfigurationEverywhere(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{engines: 3, domains: []string{"domain-a", "domain-b", "domain-c"}})
	var nodes []*node
	for i := range 9 {
		nodes = append(nodes, w.start(fmt.Sprintf("entry-%d", i), "domain-"+string(rune('a'+i%3)), nodes...))
	}
	w.commit(nodes[0], manifestText(), 0)
	everywhere := func(want uint64) {
		t.Helper()
		started := time.Now()
		w.eventually(fmt.Sprintf("version %d is in effect everywhere", want), func() bool {
			for _, n := range nodes {
				if version(n) < want {
					return false
				}
			}
			return true
		})
		took := clock.FromDuration(time.Since(started))
		t.Logf("version %d in effect in %d instances after %d ms", want, len(nodes), took)
		if took > effectLimit {
			t.Errorf("took %d ms, limit %d ms", took, effectLimit)
		}
	}
	everywhere(1)

	t.Run("racing operators", func(t *testing.T) {
		var group sync.WaitGroup
		var mutex sync.Mutex
		accepted := 0
		for i, n := range nodes[:4] {
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
			t.Fatalf("%d commits accepted", accepted)
		}
		everywhere(2)
	})
	t.Run("reply of the table lost", func(t *testing.T) {
		w.table.SetFaults(fault.Faults{AppliesTo: fault.Writes, LoseReply: true, Limit: 1})
		if status := putManifest(t, nodes[1], manifestText(), 2, "lost-reply"); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		w.table.SetFaults(fault.Faults{})
		everywhere(3)
	})
	t.Run("table restored to an older state", func(t *testing.T) {
		w.table.SetFaults(fault.Faults{Restore: clock.FromDuration(2 * time.Second)})
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			if v := version(n); v < 3 {
				t.Errorf("%s went back to version %d", n.id, v)
			}
		}
	})
	t.Run("fresh instance while the table is out", func(t *testing.T) {
		w.table.SetFaults(fault.Faults{Outage: fault.Silent})
		fresh := w.start("entry-fresh", "domain-a", nodes[0])
		w.ready(fresh)
		if v := version(fresh); v < 3 {
			t.Errorf("fresh instance has version %d", v)
		}
		expectAnswer(t, fresh, "served without the table", 4, true)
	})
}

func putManifest(t *testing.T, n *node, text string, replaces int, id string) int {
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

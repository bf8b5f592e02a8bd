package instance_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
)

// placementTimeout covers the 10.5 s that a new lease takes to settle and the loading of models after it, which
// conditionTimeout does not.
const placementTimeout = 60 * time.Second

// TestPlacementRollsOverVersion guards against a planner that is not connected to the lease, the manifest or the
// engines: engines that run an earlier model version must get the current one, by orders with fencing tokens.
func TestPlacementRollsOverVersion(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 2, engine: []emulatedengine.Option{
		emulatedengine.WithFencingChecks(), emulatedengine.WithLoadTime(200),
		emulatedengine.WithModels(emulatedengine.Model{Name: "drafting", Version: "0"}),
	}})
	first := cluster.startInstance("entry-1", "domain-a")
	cluster.startInstance("entry-2", "domain-a", first)
	cluster.commitManifest(first, manifestText(), 0)
	readRecord := func(id string) (r emulatedengine.Record) {
		response, err := http.Get(cluster.urls[id] + "/record")
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if err := json.NewDecoder(response.Body).Decode(&r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	loaded := func(id string) bool {
		response, err := http.Get(cluster.urls[id] + "/health")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var h struct{ Models []emulatedengine.Model }
		return json.NewDecoder(response.Body).Decode(&h) == nil && len(h.Models) == 1 && h.Models[0].Version == "1" &&
			len(h.Models[0].Adapters) == 1
	}
	for end := time.Now().Add(placementTimeout); !loaded("engine-0") || !loaded("engine-1"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the engines did not get the current version")
		}
	}
	for _, id := range []string{"engine-0", "engine-1"} {
		for _, o := range readRecord(id).Orders {
			if !o.Accepted || o.FencingToken == 0 {
				t.Errorf("order to %s: %+v", id, o)
			}
		}
	}
	if text := cluster.log.String(); !strings.Contains(text, `"message":"placement decision"`) || !strings.Contains(text, `"message":"placement holder changed"`) {
		t.Error("the log lacks a placement decision or the change of the holder")
	}
}

package instance_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
)

// placementBudget covers the settling time of a new lease, 10.5 s, which startBudget does not.
const placementBudget = 60 * time.Second

// TestPlacementRollsOverVersion guards against a planner that is not connected to the lease, the manifest or the engines:
// engines with an earlier version must get the current one, by numbered orders and one after another.
func TestPlacementRollsOverVersion(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{engines: 2, engine: []emulatedengine.Option{
		emulatedengine.WithFencingChecks(), emulatedengine.WithLoadTime(200),
		emulatedengine.WithModels(emulatedengine.Model{Name: "drafting", Version: "0"}),
	}})
	first := w.start("entry-1", "domain-a")
	w.start("entry-2", "domain-a", first)
	w.commit(first, manifestText(), 0)
	record := func(id string) (r emulatedengine.Record) {
		response, err := http.Get(w.urls[id] + "/record")
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
		response, err := http.Get(w.urls[id] + "/health")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var h struct{ Models []emulatedengine.Model }
		return json.NewDecoder(response.Body).Decode(&h) == nil && len(h.Models) == 1 && h.Models[0].Version == "1" &&
			len(h.Models[0].Adapters) == 1
	}
	for end := time.Now().Add(placementBudget); !loaded("engine-0") || !loaded("engine-1"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the engines did not get the current version")
		}
	}
	for _, id := range []string{"engine-0", "engine-1"} {
		for _, o := range record(id).Orders {
			if !o.Accepted || o.FencingNumber == 0 {
				t.Errorf("order to %s: %+v", id, o)
			}
		}
	}
	if text := w.log.String(); !strings.Contains(text, `"message":"placement decision"`) || !strings.Contains(text, `"message":"placement holder changed"`) {
		t.Error("the log lacks a placement decision or the change of the holder")
	}
}

package instance_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// TestCacheEventsReachOtherInstances guards against a follower that is not connected to the engines or the router: an
// instance must learn from an engine's cache events of a prefix that another instance's prompt left in the cache.
func TestCacheEventsReachOtherInstances(t *testing.T) {
	cluster := newCluster(t, clusterOptions{engines: 1})
	first := cluster.startInstance("entry-1", "domain-a")
	second := cluster.startInstance("entry-2", "domain-a", first)
	cluster.commitManifest(first, manifestText(), 0)
	cluster.awaitUpstreams(second, 1)
	attempt := 0
	// Each attempt has a new prompt, which the second instance can know to be cached from events only.
	cluster.eventually("events reach the second instance", func() bool {
		attempt++
		body := fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":1}`, fmt.Sprint(attempt, strings.Repeat(" lease clause", 4_000)))
		for _, n := range []*testInstance{first, second} {
			response := post(t, n.caller, "/v1/completions", testKey, body)
			if data, _ := io.ReadAll(response.Body); response.StatusCode != 200 {
				t.Fatalf("status %d: %s", response.StatusCode, data)
			}
			time.Sleep(400 * time.Millisecond)
		}
		for line := range strings.Lines(cluster.log.String()) {
			if strings.Contains(line, `"routing decision"`) && strings.Contains(line, `"instance":"entry-2"`) &&
				!strings.Contains(line, `"cached-tokens":0`) {
				return true
			}
		}
		return false
	})
}

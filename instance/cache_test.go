package instance_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// TestCacheEventsReachOtherInstances guards against a follower that is not connected to engines or router: an instance
// must learn from an engine's events that a prompt which another instance sent is cached there.
func TestCacheEventsReachOtherInstances(t *testing.T) {
	w := newWorld(t, worldOptions{engines: 1})
	first := w.start("entry-1", "domain-a")
	second := w.start("entry-2", "domain-a", first)
	w.commit(first, manifestText(), 0)
	w.usable(second, 1)
	attempt := 0
	// Each attempt has a new prompt, which the second instance can know of from events alone.
	w.eventually("events reach the second instance", func() bool {
		attempt++
		body := fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":1}`, fmt.Sprint(attempt, strings.Repeat(" lease clause", 4_000)))
		for _, n := range []*node{first, second} {
			response := post(t, n.caller, "/v1/completions", testKey, body)
			if data, _ := io.ReadAll(response.Body); response.StatusCode != 200 {
				t.Fatalf("status %d: %s", response.StatusCode, data)
			}
			time.Sleep(400 * time.Millisecond)
		}
		for line := range strings.Lines(w.log.String()) {
			if strings.Contains(line, `"routing decision"`) && strings.Contains(line, `"instance":"entry-2"`) &&
				!strings.Contains(line, `"cached-tokens":0`) {
				return true
			}
		}
		return false
	})
}

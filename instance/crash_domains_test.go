package instance_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
)

// TestCrashingRequestInSeveralDomains guards against a request that crashes engines of one failure domain after another,
// because its caller repeats it there before the domain knows of the suspect.
func TestCrashingRequestInSeveralDomains(t *testing.T) {
	domains := []string{"domain-a", "domain-b", "domain-c"}
	w := newWorld(t, worldOptions{engines: 9, domains: domains})
	var nodes []*node
	for i := range 6 {
		nodes = append(nodes, w.start(fmt.Sprintf("entry-%d", i), domains[i%3], nodes...))
	}
	w.commit(nodes[0], manifestText(), 0)
	for _, n := range nodes {
		w.usable(n, 9)
	}
	// A notice reaches those that the membership knows.
	for i, n := range nodes {
		w.knows(n, fmt.Sprintf("entry-%d", (i+3)%6), `"failure-domain": "`+domains[(i+1)%3], `"failure-domain": "`+domains[(i+2)%3])
	}
	for _, e := range w.engines {
		e.SetFaults(emulatedengine.Faults{CrashMarker: "crashes engines"})
	}
	for _, n := range nodes {
		if tryAnswer(n, "this one crashes engines", 4) == nil {
			t.Error("the crashing prompt was answered")
		}
	}
	crashed := 0
	for _, e := range w.engines {
		for _, r := range e.Record().Runs {
			if r.Crashed {
				crashed++
			}
		}
	}
	if crashed > crashLimit {
		t.Errorf("%d engines crashed, limit %d", crashed, crashLimit)
	}
}

// knows waits until the peers in the status of n contain all the texts.
func (w *world) knows(n *node, texts ...string) {
	w.t.Helper()
	w.eventually(n.id+" knows its peers", func() bool {
		response, err := http.Get("http://" + n.operator + "/status")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		_, peers, _ := strings.Cut(string(data), `"peers"`)
		peers, _, _ = strings.Cut(peers, `"upstreams"`)
		for _, text := range texts {
			if !strings.Contains(peers, text) {
				return false
			}
		}
		return true
	})
}

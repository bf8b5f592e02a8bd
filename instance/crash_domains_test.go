package instance_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
)

// TestCrashingRequestInSeveralDomains guards against a request that crashes engines in one failure domain after
// another, because its caller repeats it in a domain that has not yet received the suspect.
func TestCrashingRequestInSeveralDomains(t *testing.T) {
	domains := []string{"domain-a", "domain-b", "domain-c"}
	cluster := newCluster(t, clusterOptions{engines: 9, domains: domains})
	var instances []*testInstance
	for i := range 6 {
		instances = append(instances, cluster.startInstance(fmt.Sprintf("entry-%d", i), domains[i%3], instances...))
	}
	cluster.commitManifest(instances[0], manifestText(), 0)
	for _, n := range instances {
		cluster.awaitUpstreams(n, 9)
	}
	// A notice is sent only to the members that the sender knows.
	for i, n := range instances {
		cluster.awaitPeers(n, fmt.Sprintf("entry-%d", (i+3)%6), `"failure-domain": "`+domains[(i+1)%3], `"failure-domain": "`+domains[(i+2)%3])
	}
	for _, e := range cluster.engines {
		e.SetFaults(emulatedengine.Faults{CrashMarker: "crashes engines"})
	}
	for _, n := range instances {
		if checkAnswer(n, "this one crashes engines", 4) == nil {
			t.Error("the crashing prompt was answered")
		}
	}
	crashed := cluster.crashedEngines()
	if crashed > crashLimit {
		t.Errorf("%d engines crashed, limit %d", crashed, crashLimit)
	}
}

// awaitPeers waits until the peers in the status of n contain all the texts.
func (c *cluster) awaitPeers(n *testInstance, texts ...string) {
	c.t.Helper()
	c.eventually(n.id+" knows its peers", func() bool {
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

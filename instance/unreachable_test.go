package instance_test

import "testing"

// TestPromptThatReachedNoEngine guards against an innocent prompt that is quarantined as a crashing one because two
// engines, to which it was about to be sent, were down.
func TestPromptThatReachedNoEngine(t *testing.T) {
	cluster := newCluster(t, clusterOptions{engines: 5})
	n := cluster.startInstance("entry-0", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	cluster.awaitUpstreams(n, 5)
	dead := []string{"engine-0", "engine-1", "engine-2", "engine-3"}
	for _, id := range dead {
		_ = cluster.servers[id].Listener.Close()
	}
	for _, id := range dead {
		cluster.servers[id].CloseClientConnections()
	}
	if err := checkAnswer(n, "innocent prompt", 4); err != nil {
		t.Error(err)
	}
}

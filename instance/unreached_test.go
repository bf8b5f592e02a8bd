package instance_test

import "testing"

// TestPromptThatReachedNoEngine guards against an innocent prompt being rejected as a crashing one, because two engines
// were dead when it was about to be sent to them.
func TestPromptThatReachedNoEngine(t *testing.T) {
	w := newWorld(t, worldOptions{engines: 5})
	n := w.start("entry-0", "domain-a")
	w.commit(n, manifestText(), 0)
	w.usable(n, 5)
	dead := []string{"engine-0", "engine-1", "engine-2", "engine-3"}
	for _, id := range dead {
		_ = w.servers[id].Listener.Close()
	}
	for _, id := range dead {
		w.servers[id].CloseClientConnections()
	}
	if err := tryAnswer(n, "innocent prompt", 4); err != nil {
		t.Error(err)
	}
}

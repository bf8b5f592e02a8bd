package instance_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	emulatedservice "github.com/poplarwinch/poplarwinch/emulator/service"
)

// TestCallOutlivesItsCaller guards against an unknown outcome for a call whose caller disconnected before the service
// answered: the repeat must get the recorded answer.
func TestCallOutlivesItsCaller(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{services: 1})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	cluster.services[0].SetFaults(emulatedservice.Faults{Delay: 500})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(200*time.Millisecond, cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.caller+"/services/bookings/bookings", strings.NewReader(`{"room":4}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", "disconnected")
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
		t.Fatalf("status %d before the caller disconnected", response.StatusCode)
	}
	response := post(t, n.caller, "/services/bookings/bookings", testKey, `{"room":4}`, "Idempotency-Key", "disconnected")
	if response.StatusCode != http.StatusOK || response.Header.Get("Replayed") != "true" {
		t.Errorf("repeat: status %d, outcome %q, replayed %q", response.StatusCode, response.Header.Get("Outcome"), response.Header.Get("Replayed"))
	}
	if runs := len(cluster.services[0].Record().Executions); runs != 1 {
		t.Errorf("%d executions, want 1", runs)
	}
}

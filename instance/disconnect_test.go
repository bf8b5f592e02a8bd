package instance_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	emulatedservice "github.com/poplarwinch/poplarwinch/emulator/service"
)

// TestCallOutlivesItsCaller guards against an unknown outcome for a call whose caller disconnected while the service was
// about to answer: the repeat gets the recorded answer.
func TestCallOutlivesItsCaller(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{services: 1})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	w.services[0].SetFaults(emulatedservice.Faults{Delay: 500})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(200*time.Millisecond, cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.caller+"/services/bookings/bookings", strings.NewReader(`{"room":4}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", "disconnected")
	if r, err := http.DefaultClient.Do(request); err == nil {
		r.Body.Close()
		t.Fatalf("status %d before the caller disconnected", r.StatusCode)
	}
	r := post(t, n.caller, "/services/bookings/bookings", testKey, `{"room":4}`, "Idempotency-Key", "disconnected")
	if r.StatusCode != http.StatusOK || r.Header.Get("Replayed") != "true" {
		t.Errorf("repeat: status %d, outcome %q, replayed %q", r.StatusCode, r.Header.Get("Outcome"), r.Header.Get("Replayed"))
	}
	if runs := len(w.services[0].Record().Executions); runs != 1 {
		t.Errorf("%d executions", runs)
	}
}

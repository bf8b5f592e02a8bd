package instance_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	emulatedservice "github.com/poplarwinch/poplarwinch/emulator/service"
)

// TestAnswerDoesNotWaitForTable guards against an answer after its deadline because the table is slow to record the end
// of a call, and against a lost record: the repeat must get the recorded answer.
func TestAnswerDoesNotWaitForTable(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{services: 1})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	cluster.services[0].SetFaults(emulatedservice.Faults{Delay: 300})
	time.AfterFunc(150*time.Millisecond, func() {
		cluster.table.SetFaults(fault.Faults{AppliesTo: fault.Writes, Outage: fault.Silent})
	})
	const limit = 600 * clock.Millis(1)
	started := time.Now()
	call := func() *http.Response {
		return post(t, n.caller, "/services/bookings/bookings", testKey, `{"room":4}`, "Idempotency-Key", "slow-table", "Request-Timeout-Ms", "600")
	}
	if response := call(); response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	if took := clock.FromDuration(time.Since(started)); took > limit {
		t.Errorf("took %d ms, limit %d ms", took, limit)
	}
	cluster.table.SetFaults(fault.Faults{})
	cluster.eventually("the repeat gets the recorded answer", func() bool {
		response := call()
		return response.StatusCode == http.StatusOK && response.Header.Get("Replayed") == "true"
	})
	if runs := len(cluster.services[0].Record().Executions); runs != 1 {
		t.Errorf("%d executions, want 1", runs)
	}
}

package instance_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	emulatedservice "github.com/poplarwinch/poplarwinch/emulator/service"
)

// TestAnswerDoesNotWaitForTable guards against an answer beyond the time limit because the table is slow to record the
// end of a call, and against a lost record: the repeat gets the recorded answer.
func TestAnswerDoesNotWaitForTable(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{services: 1})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	w.services[0].SetFaults(emulatedservice.Faults{Delay: 300})
	time.AfterFunc(150*time.Millisecond, func() {
		w.table.SetFaults(fault.Faults{AppliesTo: fault.Writes, Outage: fault.Silent})
	})
	const limit = 600 * clock.Millis(1)
	started := time.Now()
	call := func() *http.Response {
		return post(t, n.caller, "/services/bookings/bookings", testKey, `{"room":4}`, "Idempotency-Key", "slow-table", "Request-Timeout-Ms", "600")
	}
	if r := call(); r.StatusCode != http.StatusOK {
		t.Fatalf("status %d", r.StatusCode)
	}
	if took := clock.FromDuration(time.Since(started)); took > limit {
		t.Errorf("took %d ms, limit %d ms", took, limit)
	}
	w.table.SetFaults(fault.Faults{})
	w.eventually("the repeat gets the recorded answer", func() bool {
		r := call()
		return r.StatusCode == http.StatusOK && r.Header.Get("Replayed") == "true"
	})
	if runs := len(w.services[0].Record().Executions); runs != 1 {
		t.Errorf("%d executions", runs)
	}
}

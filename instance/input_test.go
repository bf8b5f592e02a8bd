package instance_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestBadInput guards against crashes, wrong outcomes and errors without a remedy for invalid requests.
func TestBadInput(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 1, services: 1})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	good := `{"model":"drafting","prompt":"x","max_tokens":1}`
	cases := []struct {
		name, path, key, body string
		header                []string
		kind                  string
		status                int
	}{
		{"broken JSON", "/v1/completions", testKey, `{"model":`, nil, "invalid-request", 400},
		{"no body", "/v1/completions", testKey, ``, nil, "invalid-request", 400},
		{"unknown model", "/v1/completions", testKey, `{"model":"x","prompt":"x"}`, nil, "unknown-model", 404},
		{"unknown adapter", "/v1/completions", testKey, `{"model":"drafting:x","prompt":"x"}`, nil, "unknown-adapter", 404},
		{"wrong key", "/v1/completions", "wrong", good, nil, "unauthorized", 401},
		{"negative limit", "/v1/completions", testKey, good, []string{"Request-Timeout-Ms", "-1"}, "invalid-request", 400},
		{"limit beyond the manifest's", "/v1/completions", testKey, good, []string{"Request-Timeout-Ms", "30001"}, "invalid-request", 400},
		{"limit out of range", "/v1/completions", testKey, good, []string{"Request-Timeout-Ms", "99999999999999999999"}, "invalid-request", 400},
		{"prompt beyond the context", "/v1/completions", testKey, `{"model":"drafting","prompt":"` + strings.Repeat("x", 5_000_000) + `"}`, nil, "too-large", 413},
		{"body beyond the limit", "/v1/completions", testKey, `{"model":"drafting","prompt":"` + strings.Repeat("x", 17<<20) + `"}`, nil, "too-large", 413},
		{"unknown path", "/v2/completions", testKey, good, nil, "not-found", 404},
		{"unknown service", "/services/x/bookings", testKey, "", nil, "unknown-service", 404},
		{"service of others", "/services/bookings/bookings", otherKey, "", nil, "forbidden", 403},
		{"no idempotency key", "/services/bookings/bookings", testKey, "{}", nil, "invalid-request", 400},
		{"path with a dot segment", "/services/bookings/./bookings", testKey, "{}", nil, "invalid-request", 400},
		{"encoded slash", "/services/bookings/%2fbookings", testKey, "{}", nil, "invalid-request", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := post(t, n.caller, c.path, c.key, c.body, c.header...)
			data, _ := io.ReadAll(response.Body)
			var body struct {
				Error struct{ Type, Message, Remedy, Outcome string }
			}
			if err := json.Unmarshal(data, &body); err != nil {
				t.Fatalf("status %d, %s: %v", response.StatusCode, data, err)
			}
			e := body.Error
			if response.StatusCode != c.status || e.Type != c.kind || e.Outcome != "not-run" || e.Remedy == "" {
				t.Fatalf("status %d, %s; want status %d, kind %s", response.StatusCode, data, c.status, c.kind)
			}
		})
	}
	if runs, calls := len(cluster.engines[0].Record().Runs), len(cluster.services[0].Record().Executions); runs+calls != 0 {
		t.Fatalf("%d prompts and %d calls ran", runs, calls)
	}
	if text := cluster.log.String(); strings.Contains(text, "xxxxxxxxxx") || strings.Contains(text, testKey) {
		t.Fatal("the log holds a prompt or a key")
	}
}

// TestSlowUpload guards against an unfinished upload that holds its memory beyond the request's deadline.
func TestSlowUpload(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 1})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	c, err := net.Dial("tcp", n.caller)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nRequest-Timeout-Ms: 500\r\nContent-Length: 1000\r\n\r\n{", testKey)
	_ = c.SetReadDeadline(time.Now().Add(conditionTimeout))
	answer, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(answer), fmt.Sprint(http.StatusGatewayTimeout)) || !strings.Contains(string(answer), `"outcome":"not-run"`) {
		t.Fatalf("answer %q, %v", answer, err)
	}
}

package instance_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/engine"
)

// instantEngine answers every prompt without delay with 16 chunks, so that the latency of the instance can be measured.
type instantEngine struct{}

func (instantEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		_, _ = io.WriteString(w, `{"ready":true,"leaving":false,"boot-id":"1","role":"mixed","models":[{"name":"drafting","version":"1","adapters":[]}]}`)
	case r.URL.Path == "/metrics":
		_, _ = io.WriteString(w, "engine_running_requests 0\nengine_waiting_requests 0\nengine_waiting_prefill_tokens 0\nengine_kv_used_tokens 0\n"+
			"engine_kv_capacity_tokens 400000\nengine_prefill_tokens_per_second 1000000\nengine_report_age_ms 0\n")
	case r.Method == http.MethodPost:
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Request-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Stream-Id", id)
		for i := 1; i <= 16; i++ {
			fmt.Fprintf(w, "id: %s/%d\ndata: {\"id\":\"c\",\"object\":\"text_completion\",\"created\":1,\"model\":\"drafting\",\"choices\":[{\"index\":0,\"text\":\" word\",\"logprobs\":null,\"finish_reason\":%s}]}\n\n",
				id, i, map[bool]string{true: `"length"`, false: "null"}[i == 16])
			w.(http.Flusher).Flush()
		}
		fmt.Fprintf(w, "id: %s/17\ndata: [DONE]\n\n", id)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// BenchmarkAddedLatency measures the latency of a 1,000-token prompt sent directly to the engine and through an
// instance, alternately in the same run.
func BenchmarkAddedLatency(b *testing.B) {
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) { benchmarkAddedLatency(b, callers) })
	}
}

func benchmarkAddedLatency(b *testing.B, callers int) {
	cluster := newCluster(b, clusterOptions{})
	cluster.addUpstream("engine-0", "engine", "drafting", "domain-a", instantEngine{})
	cluster.roster.SetEndpoints(cluster.endpoints)
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, strings.ReplaceAll(manifestText(), `"max-requests-in-flight": 64`, `"max-requests-in-flight": 1024`), 0)
	cluster.awaitUpstreams(n, 1)
	body := fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":16,"stream":true}`, strings.Repeat("word ", 800))
	direct, proxied := cluster.urls["engine-0"]+engine.PathCompletions, "http://"+n.caller+engine.PathCompletions
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var mutex sync.Mutex
	var durations [2][]time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range (b.N + callers - 1) / callers {
				for i, url := range []string{direct, proxied} {
					took, err := timePrompt(client, url, body)
					if err != nil {
						b.Error(err)
						return
					}
					mutex.Lock()
					durations[i] = append(durations[i], took)
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	for i, name := range []string{"direct", "through"} {
		slices.Sort(durations[i])
		for _, p := range []int{50, 99} {
			b.ReportMetric(float64(durations[i][len(durations[i])*p/100].Microseconds()), fmt.Sprintf("%s-p%d-µs", name, p))
		}
	}
}

// timePrompt returns the time until the whole streamed answer to a prompt has arrived.
func timePrompt(client *http.Client, url, body string) (time.Duration, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Request-Id", fmt.Sprint(time.Now().UnixNano()))
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		return 0, fmt.Errorf("answer %q: %w", data, err)
	}
	return time.Since(started), nil
}

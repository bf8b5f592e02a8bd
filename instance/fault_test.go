package instance_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/answer"
	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
	emulatedservice "github.com/poplarwinch/poplarwinch/emulator/service"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/instance"
)

// shortTimeoutEngines sets an engine client that detects stalls fast enough for tests.
func shortTimeoutEngines() instance.Option {
	return instance.WithEngines(engine.New(engine.WithIdleTimeout(300), engine.WithHeaderTimeout(500)))
}

// TestEngineFaults guards against partial, duplicated, foreign or lost answers when the connection to an engine fails.
func TestEngineFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults emulatedengine.Faults
	}{
		{"reply lost after the prompt was accepted", emulatedengine.Faults{DropReply: 1}},
		{"duplicate frame", emulatedengine.Faults{DuplicateFrames: 1}},
		{"missing frame", emulatedengine.Faults{DropFrames: 1}},
		{"frames out of order", emulatedengine.Faults{ReorderFrames: 1}},
		{"frame of another stream", emulatedengine.Faults{ForeignFrames: 1}},
		{"answer without its end", emulatedengine.Faults{Truncate: 1}},
		{"connection broken", emulatedengine.Faults{BreakConnection: 1}},
		{"connection broken twice", emulatedengine.Faults{BreakConnection: 2}},
	}
	cluster := newCluster(t, clusterOptions{engines: 1, instance: []instance.Option{shortTimeoutEngines()}})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	for _, c := range cases {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", c.name, stream), func(t *testing.T) {
				cluster.engines[0].SetFaults(c.faults)
				defer cluster.engines[0].SetFaults(emulatedengine.Faults{})
				expectAnswer(t, n, strings.Repeat(c.name, 50), 10, stream)
			})
		}
	}
}

// expectAnswer sends a prompt and checks that its complete answer arrives.
func expectAnswer(t *testing.T, n *testInstance, prompt string, tokens int, stream bool) {
	t.Helper()
	want := strings.Join(answer.Answer(prompt, tokens), "")
	response := post(t, n.caller, "/v1/completions", testKey,
		fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, tokens, stream))
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		t.Fatalf("status %d: %s", response.StatusCode, data)
	}
	if stream {
		if text, done := readStream(t, response.Body); text != want || !done {
			t.Fatalf("text %q, done %v, want %q", text, done, want)
		}
		return
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(data), fmt.Sprintf("%q", want)) {
		t.Fatalf("answer %s, %v, want text %q", data, err, want)
	}
}

// TestRefusedElsewhere guards against a prompt that fails, or is reported as run, because one engine refuses it before
// running it: another engine must get it.
func TestRefusedElsewhere(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 2})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	cluster.engines[0].SetFaults(emulatedengine.Faults{Refuse: 100})
	for i := range 8 {
		expectAnswer(t, n, fmt.Sprintf("prompt %d", i), 4, i%2 == 0)
	}
	cluster.engines[1].SetFaults(emulatedengine.Faults{Refuse: 100})
	ran := len(cluster.engines[0].Record().Runs) + len(cluster.engines[1].Record().Runs)
	response := post(t, n.caller, "/v1/completions", testKey, `{"model":"drafting","prompt":"refused","max_tokens":4}`)
	if got := response.Header.Get("Outcome"); got != "not-run" || response.StatusCode < 500 {
		t.Fatalf("status %d, outcome %q, want not-run", response.StatusCode, got)
	}
	if now := len(cluster.engines[0].Record().Runs) + len(cluster.engines[1].Record().Runs); now != ran {
		t.Fatalf("%d prompts ran, %d before the refused one", now, ran)
	}
}

// TestEngineDeathMidAnswer guards against a partial answer that looks complete when an engine crashes, and against an
// error when another engine can still produce the whole answer.
func TestEngineDeathMidAnswer(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(20)}
	cluster := newCluster(t, clusterOptions{engines: 2, engine: slow, instance: []instance.Option{shortTimeoutEngines()}})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	kill := func() {
		cluster.eventually("a prompt is running", func() bool {
			for _, e := range cluster.engines {
				record := e.Record()
				for _, r := range record.Runs {
					if r.Boot == record.Boot && r.FirstToken != 0 && r.Completed == 0 {
						e.Crash()
						return true
					}
				}
			}
			return false
		})
	}
	t.Run("whole answer moves to another engine", func(t *testing.T) {
		go kill()
		expectAnswer(t, n, "an answer that outlives its first engine", 40, false)
	})
	for _, e := range cluster.engines {
		e.Restart()
	}
	cluster.awaitUpstreams(n, 2)
	t.Run("streamed answer ends with an error event", func(t *testing.T) {
		r := post(t, n.caller, "/v1/completions", testKey, `{"model":"drafting","prompt":"streamed","max_tokens":60,"stream":true}`)
		kill()
		data, _ := io.ReadAll(r.Body)
		if strings.Contains(string(data), "[DONE]") || !strings.Contains(string(data), `"type":"upstream-failed"`) {
			t.Fatalf("stream ended with %s", data[max(0, len(data)-300):])
		}
	})
}

// TestStalledConnections guards against treating an engine as down because its open connections stopped delivering
// data: the stream must be resumed over a new connection.
func TestStalledConnections(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(20)}
	cluster := newCluster(t, clusterOptions{engines: 1, engine: slow, instance: []instance.Option{shortTimeoutEngines()}})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	go func() {
		time.Sleep(200 * time.Millisecond)
		cluster.engines[0].SetFaults(emulatedengine.Faults{StallConnections: true})
	}()
	expectAnswer(t, n, "a stream whose connection goes silent", 40, true)
	if runs := cluster.engines[0].Record().Runs; len(runs) != 1 {
		t.Fatalf("the prompt ran %d times", len(runs))
	}
}

// TestResumeThroughAnotherInstance guards against an answer that can be resumed only at the instance that served it,
// against one that another customer can resume, and against a resume that is rejected for the time limit that its caller
// sends with each request, though the stream has less time left.
func TestResumeThroughAnotherInstance(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(20)}
	cluster := newCluster(t, clusterOptions{engines: 1, engine: slow})
	first := cluster.startInstance("entry-1", "domain-a")
	second := cluster.startInstance("entry-2", "domain-a", first)
	cluster.commitManifest(first, manifestText(), 0)
	prompt, tokens := "an answer that changes instances", 60
	ctx, cancel := context.WithCancel(context.Background())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+first.caller+"/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Request-Timeout-Ms", "30000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	resume := response.Header.Get("Resume-Token")
	buffer := make([]byte, 300)
	_, _ = io.ReadFull(response.Body, buffer)
	cancel()
	for _, c := range []struct {
		key    string
		status int
	}{{otherKey, http.StatusNotFound}, {testKey, http.StatusOK}} {
		request, _ := http.NewRequest(http.MethodGet, "http://"+second.caller+"/v1/streams/"+resume, nil)
		request.Header.Set("Authorization", "Bearer "+c.key)
		request.Header.Set("Request-Timeout-Ms", "30000")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode != c.status {
			t.Fatalf("key %s: status %d, want %d", c.key, response.StatusCode, c.status)
		}
		if c.status != http.StatusOK {
			continue
		}
		want := strings.Join(answer.Answer(prompt, tokens), "")
		if text, done := readStream(t, response.Body); text != want || !done {
			t.Fatalf("text %q, done %v, want %q", text, done, want)
		}
	}
}

// TestNonRepeatableCalls guards against a call that runs twice, and against a false "not-run".
func TestNonRepeatableCalls(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		faults  emulatedservice.Faults
		outcome string
		runs    int
		repeat  int // status of the response to the repeat
	}{
		{"no fault", emulatedservice.Faults{}, "", 1, http.StatusOK},
		{"reply lost", emulatedservice.Faults{DropReply: 1}, "unknown", 1, http.StatusBadGateway},
		{"answer truncated", emulatedservice.Faults{Truncate: 1}, "unknown", 1, http.StatusBadGateway},
		{"refused", emulatedservice.Faults{Refuse: 100}, "not-run", 0, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := newCluster(t, clusterOptions{services: 1})
			n := cluster.startInstance("entry-1", "domain-a")
			other := cluster.startInstance("entry-2", "domain-a", n)
			cluster.commitManifest(n, manifestText(), 0)
			cluster.services[0].SetFaults(c.faults)
			call := func(n *testInstance) *http.Response {
				return post(t, n.caller, "/services/bookings/bookings", testKey, `{"room":4}`, "Idempotency-Key", "key-"+c.name)
			}
			if got := call(n).Header.Get("Outcome"); got != c.outcome {
				t.Fatalf("outcome %q, want %q", got, c.outcome)
			}
			if runs := len(cluster.services[0].Record().Executions); runs != c.runs {
				t.Fatalf("%d executions, want %d", runs, c.runs)
			}
			cluster.services[0].SetFaults(emulatedservice.Faults{})
			if status := call(other).StatusCode; status != c.repeat {
				t.Fatalf("repeat has status %d, want %d", status, c.repeat)
			}
			if runs := len(cluster.services[0].Record().Executions); runs != 1 {
				t.Fatalf("%d executions after the repeat, want 1", runs)
			}
		})
	}
}

// TestRollingStop guards against a graceful shutdown that cuts off requests in progress.
func TestRollingStop(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(20)}
	cluster := newCluster(t, clusterOptions{engines: 2, engine: slow})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	results := make(chan error, 8)
	for i := range cap(results) {
		go func() { results <- checkAnswer(n, fmt.Sprintf("prompt %d", i), 50) }()
	}
	cluster.eventually("all prompts are running", func() bool {
		runs := 0
		for _, e := range cluster.engines {
			runs += len(e.Record().Runs)
		}
		return runs == cap(results)
	})
	n.stop()
	for range cap(results) {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if err := <-n.done; err != nil {
		t.Errorf("Run() = %v", err)
	}
	n.done <- nil
}

// checkAnswer sends a prompt and returns an error unless its complete answer arrives.
func checkAnswer(n *testInstance, prompt string, tokens int) error {
	body := fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":%d}`, prompt, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+n.caller+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if want := strings.Join(answer.Answer(prompt, tokens), ""); !strings.Contains(string(data), fmt.Sprintf("%q", want)) {
		return errors.New("answer " + string(data))
	}
	return nil
}

// TestDeadline guards against a request that outlives its deadline.
func TestDeadline(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 1})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	cluster.engines[0].SetFaults(emulatedengine.Faults{Hang: true})
	started := time.Now()
	response := post(t, n.caller, "/v1/completions", testKey, `{"model":"drafting","prompt":"x"}`, "Request-Timeout-Ms", "400")
	if response.StatusCode != http.StatusGatewayTimeout || response.Header.Get("Outcome") != "failed" {
		t.Fatalf("status %d, outcome %q", response.StatusCode, response.Header.Get("Outcome"))
	}
	if took := clock.FromDuration(time.Since(started)); took > 400+5*clock.Second {
		t.Fatalf("took %d ms", took)
	}
}

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

// quickEngines is an engine client that notices stalls fast enough for tests.
func quickEngines() instance.Option {
	return instance.WithEngines(engine.New(engine.WithIdleTimeout(300), engine.WithHeaderTimeout(500)))
}

// TestEngineFaults guards against partial, repeated, foreign or lost answers when the path to an engine misbehaves.
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
	w := newWorld(t, worldOptions{engines: 1, instance: []instance.Option{quickEngines()}})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	for _, c := range cases {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", c.name, stream), func(t *testing.T) {
				w.engines[0].SetFaults(c.faults)
				defer w.engines[0].SetFaults(emulatedengine.Faults{})
				expectAnswer(t, n, strings.Repeat(c.name, 50), 10, stream)
			})
		}
	}
}

// expectAnswer sends a prompt and checks that the whole answer to it arrives.
func expectAnswer(t *testing.T, n *node, prompt string, tokens int, stream bool) {
	t.Helper()
	want := strings.Join(answer.Answer(prompt, tokens), "")
	r := post(t, n.caller, "/v1/completions", testKey,
		fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, tokens, stream))
	if r.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(r.Body)
		t.Fatalf("status %d: %s", r.StatusCode, data)
	}
	if stream {
		if text, done := readStream(t, r.Body); text != want || !done {
			t.Fatalf("text %q, done %v, want %q", text, done, want)
		}
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || !strings.Contains(string(data), fmt.Sprintf("%q", want)) {
		t.Fatalf("answer %s, %v, want text %q", data, err, want)
	}
}

// TestRefusedElsewhere guards against giving up, or reporting a run, when one engine refuses before running.
func TestRefusedElsewhere(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{engines: 2})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	w.engines[0].SetFaults(emulatedengine.Faults{Refuse: 100})
	for i := range 8 {
		expectAnswer(t, n, fmt.Sprintf("prompt %d", i), 4, i%2 == 0)
	}
	w.engines[1].SetFaults(emulatedengine.Faults{Refuse: 100})
	ran := len(w.engines[0].Record().Runs) + len(w.engines[1].Record().Runs)
	r := post(t, n.caller, "/v1/completions", testKey, `{"model":"drafting","prompt":"refused","max_tokens":4}`)
	if got := r.Header.Get("Outcome"); got != "not-run" || r.StatusCode < 500 {
		t.Fatalf("status %d, outcome %q, want not-run", r.StatusCode, got)
	}
	if now := len(w.engines[0].Record().Runs) + len(w.engines[1].Record().Runs); now != ran {
		t.Fatalf("%d prompts ran, %d before the refused one", now, ran)
	}
}

// TestEngineDeathMidAnswer guards against a partial answer that looks complete, and against an error when the whole
// answer can still be had from another engine.
func TestEngineDeathMidAnswer(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(20)}
	w := newWorld(t, worldOptions{engines: 2, engine: slow, instance: []instance.Option{quickEngines()}})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	kill := func() {
		w.eventually("a prompt is running", func() bool {
			for _, e := range w.engines {
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
	for _, e := range w.engines {
		e.Restart()
	}
	w.usable(n, 2)
	t.Run("streamed answer ends with an error event", func(t *testing.T) {
		r := post(t, n.caller, "/v1/completions", testKey, `{"model":"drafting","prompt":"streamed","max_tokens":60,"stream":true}`)
		kill()
		data, _ := io.ReadAll(r.Body)
		if strings.Contains(string(data), "[DONE]") || !strings.Contains(string(data), `"type":"upstream-failed"`) {
			t.Fatalf("stream ended with %s", data[max(0, len(data)-300):])
		}
	})
}

// TestStalledConnections guards against condemning an engine because its open connections went silent.
func TestStalledConnections(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(20)}
	w := newWorld(t, worldOptions{engines: 1, engine: slow, instance: []instance.Option{quickEngines()}})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	go func() {
		time.Sleep(200 * time.Millisecond)
		w.engines[0].SetFaults(emulatedengine.Faults{StallConnections: true})
	}()
	expectAnswer(t, n, "a stream whose connection goes silent", 40, true)
	if runs := w.engines[0].Record().Runs; len(runs) != 1 {
		t.Fatalf("the prompt ran %d times", len(runs))
	}
}

// TestResumeThroughAnotherInstance guards against losing an answer with the instance that served it.
func TestResumeThroughAnotherInstance(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(20)}
	w := newWorld(t, worldOptions{engines: 1, engine: slow})
	first := w.start("entry-1", "domain-a")
	second := w.start("entry-2", "domain-a", first)
	w.commit(first, manifestText(), 0)
	prompt, tokens := "an answer that changes instances", 60
	ctx, cancel := context.WithCancel(context.Background())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+first.caller+"/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)))
	request.Header.Set("Authorization", "Bearer "+testKey)
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	resume := r.Header.Get("Resume-Token")
	buffer := make([]byte, 300)
	_, _ = io.ReadFull(r.Body, buffer)
	cancel()
	for _, c := range []struct {
		key    string
		status int
	}{{otherKey, http.StatusNotFound}, {testKey, http.StatusOK}} {
		request, _ := http.NewRequest(http.MethodGet, "http://"+second.caller+"/v1/streams/"+resume, nil)
		request.Header.Set("Authorization", "Bearer "+c.key)
		r, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		if r.StatusCode != c.status {
			t.Fatalf("key %s: status %d, want %d", c.key, r.StatusCode, c.status)
		}
		if c.status != http.StatusOK {
			continue
		}
		want := strings.Join(answer.Answer(prompt, tokens), "")
		if text, done := readStream(t, r.Body); text != want || !done {
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
		repeat  int // status of the repeat
	}{
		{"no fault", emulatedservice.Faults{}, "", 1, http.StatusOK},
		{"reply lost", emulatedservice.Faults{DropReply: 1}, "unknown", 1, http.StatusBadGateway},
		{"answer truncated", emulatedservice.Faults{Truncate: 1}, "unknown", 1, http.StatusBadGateway},
		{"refused", emulatedservice.Faults{Refuse: 100}, "not-run", 0, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, worldOptions{services: 1})
			n := w.start("entry-1", "domain-a")
			other := w.start("entry-2", "domain-a", n)
			w.commit(n, manifestText(), 0)
			w.services[0].SetFaults(c.faults)
			call := func(n *node) *http.Response {
				return post(t, n.caller, "/services/bookings/bookings", testKey, `{"room":4}`, "Idempotency-Key", "key-"+c.name)
			}
			if got := call(n).Header.Get("Outcome"); got != c.outcome {
				t.Fatalf("outcome %q, want %q", got, c.outcome)
			}
			if runs := len(w.services[0].Record().Executions); runs != c.runs {
				t.Fatalf("%d executions, want %d", runs, c.runs)
			}
			w.services[0].SetFaults(emulatedservice.Faults{})
			if status := call(other).StatusCode; status != c.repeat {
				t.Fatalf("repeat has status %d, want %d", status, c.repeat)
			}
			if runs := len(w.services[0].Record().Executions); runs != 1 {
				t.Fatalf("%d executions after the repeat, want 1", runs)
			}
		})
	}
}

// TestRollingStop guards against a planned stop that cuts off requests in progress.
func TestRollingStop(t *testing.T) {
	t.Parallel()
	slow := []emulatedengine.Option{emulatedengine.WithStep(20)}
	w := newWorld(t, worldOptions{engines: 2, engine: slow})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	failures := make(chan error, 8)
	for i := range cap(failures) {
		go func() { failures <- tryAnswer(n, fmt.Sprintf("prompt %d", i), 50) }()
	}
	w.eventually("all prompts are running", func() bool {
		runs := 0
		for _, e := range w.engines {
			runs += len(e.Record().Runs)
		}
		return runs == cap(failures)
	})
	n.stop()
	for range cap(failures) {
		if err := <-failures; err != nil {
			t.Error(err)
		}
	}
	if err := <-n.done; err != nil {
		t.Errorf("Run() = %v", err)
	}
	n.done <- nil
}

func tryAnswer(n *node, prompt string, tokens int) error {
	body := fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":%d}`, prompt, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+n.caller+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if want := strings.Join(answer.Answer(prompt, tokens), ""); !strings.Contains(string(data), fmt.Sprintf("%q", want)) {
		return errors.New("answer " + string(data))
	}
	return nil
}

// TestDeadline guards against a request that outlives its time limit.
func TestDeadline(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{engines: 1})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	w.engines[0].SetFaults(emulatedengine.Faults{Hang: true})
	started := time.Now()
	r := post(t, n.caller, "/v1/completions", testKey, `{"model":"drafting","prompt":"x"}`, "Request-Timeout-Ms", "400")
	if r.StatusCode != http.StatusGatewayTimeout || r.Header.Get("Outcome") != "failed" {
		t.Fatalf("status %d, outcome %q", r.StatusCode, r.Header.Get("Outcome"))
	}
	if took := clock.FromDuration(time.Since(started)); took > 400+5*clock.Second {
		t.Fatalf("took %d ms", took)
	}
}

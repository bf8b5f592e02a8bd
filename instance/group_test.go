package instance_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/answer"
	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
)

// TestPromptBeyondOneEngine guards against a prompt that needs more than twice one engine's memory failing, and against
// reservations that stay behind.
func TestPromptBeyondOneEngine(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{engines: 5, engine: []emulatedengine.Option{emulatedengine.WithMemory(100_000)}})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	prompt := strings.Repeat("quarterly notes ", 62_500)
	want := strings.Join(answer.Answer(prompt, 8), "")
	results := make(chan string, 3)
	for range cap(results) {
		go func() {
			request, _ := http.NewRequest(http.MethodPost, "http://"+n.caller+"/v1/completions",
				strings.NewReader(fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":8,"stream":true}`, prompt)))
			request.Header.Set("Authorization", "Bearer "+testKey)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				results <- err.Error()
				return
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				data, _ := io.ReadAll(response.Body)
				results <- string(data)
				return
			}
			text, _ := readStream(t, response.Body)
			results <- text
		}()
	}
	for range cap(results) {
		if got := <-results; got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	}
	w.eventually("all reservations are freed", func() bool {
		for i := range w.engines {
			response, err := http.Get(w.urls[fmt.Sprintf("engine-%d", i)] + "/kv/reservations")
			if err != nil {
				return false
			}
			data, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if strings.TrimSpace(string(data)) != "[]" {
				return false
			}
		}
		return true
	})
	if !strings.Contains(w.log.String(), `"reason":"group"`) {
		t.Error("no routing decision names a group")
	}
}

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

// TestPromptBeyondOneEngine guards against the failure of a prompt that needs more than twice the KV cache of one
// engine, and against leaked reservations.
func TestPromptBeyondOneEngine(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 5, engine: []emulatedengine.Option{emulatedengine.WithMemory(100_000)}})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	prompt := strings.Repeat("quarterly notes ", 62_500)
	want := strings.Join(answer.Answer(prompt, 8), "")
	texts := make(chan string, 3)
	for range cap(texts) {
		go func() {
			request, _ := http.NewRequest(http.MethodPost, "http://"+n.caller+"/v1/completions",
				strings.NewReader(fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":8,"stream":true}`, prompt)))
			request.Header.Set("Authorization", "Bearer "+testKey)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				texts <- err.Error()
				return
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				data, _ := io.ReadAll(response.Body)
				texts <- string(data)
				return
			}
			text, _ := readStream(t, response.Body)
			texts <- text
		}()
	}
	for range cap(texts) {
		if got := <-texts; got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
	}
	cluster.eventually("all reservations are released", func() bool {
		for i := range cluster.engines {
			response, err := http.Get(cluster.urls[fmt.Sprintf("engine-%d", i)] + "/kv/reservations")
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
	if !strings.Contains(cluster.log.String(), `"reason":"group"`) {
		t.Error("no routing decision names a group")
	}
}

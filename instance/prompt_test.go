package instance_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/answer"
)

// TestWholePath guards against a break anywhere on the path from a caller to an engine and back.
func TestWholePath(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 2})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	prompt := strings.Repeat("shift report ", 400)
	want := strings.Join(answer.Answer(prompt, 12), "")
	body := fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":12`, prompt)

	t.Run("whole", func(t *testing.T) {
		response := post(t, n.caller, "/v1/completions", testKey, body+"}")
		data, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("status %d, %s, %v", response.StatusCode, data, err)
		}
		var whole struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(data, &whole); err != nil || len(whole.Choices) != 1 || whole.Choices[0].Text != want {
			t.Fatalf("answer %s, want text %q", data, want)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		response := post(t, n.caller, "/v1/completions", testKey, body+`,"stream":true}`)
		text, done := readStream(t, response.Body)
		if text != want || !done {
			t.Fatalf("text %q, done %v, want %q", text, done, want)
		}
		if response.Header.Get("Resume-Token") == "" || response.Header.Get("Request-Id") == "" {
			t.Fatalf("headers %v", response.Header)
		}
	})
}

// readStream returns the text of a completion stream and whether it ended with [DONE]. It checks that the event IDs
// have no gaps.
func readStream(t *testing.T, body io.Reader) (text string, done bool) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	last := 0
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if last++; id != fmt.Sprint(last) {
				t.Fatalf("event id %s after %d", id, last-1)
			}
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("chunk %s: %v", data, err)
		}
		for _, c := range chunk.Choices {
			text += c.Text
		}
	}
	return text, false
}

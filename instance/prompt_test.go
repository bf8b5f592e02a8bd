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

// TestWholePath guards against a break anywhere on the path from caller to engine.
func TestWholePath(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldOptions{engines: 2})
	n := w.start("entry-1", "domain-a")
	w.commit(n, manifestText(), 0)
	prompt := strings.Repeat("shift report ", 400)
	want := strings.Join(answer.Answer(prompt, 12), "")
	body := fmt.Sprintf(`{"model":"drafting","prompt":%q,"max_tokens":12`, prompt)

	t.Run("whole", func(t *testing.T) {
		r := post(t, n.caller, "/v1/completions", testKey, body+"}")
		data, err := io.ReadAll(r.Body)
		if err != nil || r.StatusCode != http.StatusOK {
			t.Fatalf("status %d, %s, %v", r.StatusCode, data, err)
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
		r := post(t, n.caller, "/v1/completions", testKey, body+`,"stream":true}`)
		text, done := readStream(t, r.Body)
		if text != want || !done {
			t.Fatalf("text %q, done %v, want %q", text, done, want)
		}
		if r.Header.Get("Resume-Token") == "" || r.Header.Get("Request-Id") == "" {
			t.Fatalf("headers %v", r.Header)
		}
	})
}

// readStream reads a completion stream and checks that its event ids have no gaps.
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

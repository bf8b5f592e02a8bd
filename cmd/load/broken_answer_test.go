package main

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
)

// Guards against malformed answers, and parts of answers, that count as completed.
func TestBrokenAnswers(t *testing.T) {
	raw.ServeEach(raw.Broken(), "", "answer", func(broken *raw.Answer, address string) {
		addresses, err := newEntries([]string{"http://" + address}, "")
		if err != nil {
			t.Fatal(err)
		}
		response, err := newClient(addresses, true).do(t.Context(), func(ctx context.Context, entry string) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, entry, http.NoBody)
		})
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		if data, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("%s: got %d %q", broken.Name, response.StatusCode, data)
		}
	})
}

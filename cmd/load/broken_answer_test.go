package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
)

// Guards against malformed answers, and parts of answers, that count as completed.
func TestBrokenAnswers(t *testing.T) {
	for _, broken := range append(raw.Malformed(), raw.Parts()[:2]...) {
		server := httptest.NewServer(broken.Handler("", "answer"))
		addresses, err := newEntries([]string{server.URL}, "")
		if err != nil {
			t.Fatal(err)
		}
		response, err := newClient(addresses, true).do(t.Context(), func(ctx context.Context, entry string) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, entry, http.NoBody)
		})
		if err == nil {
			var data []byte
			data, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil {
				t.Errorf("%s: got %d %q", broken.Name, response.StatusCode, data)
			}
		}
		server.Close()
	}
}

package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch/entry"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// Guards against a request that gets neither an answer nor a refusal because its handler panics.
func TestPanicIsAnswered(t *testing.T) {
	server := entry.New(entry.WithActiveManifest(func() *manifest.Index { panic("no manifest") }), entry.WithLog(&log.Logger{Handler: discard.New()}))
	front := httptest.NewServer(server.Handler())
	defer front.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, front.URL+"/v1/models", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	a, err := front.Client().Do(r)
	if err != nil {
		t.Fatalf("neither an answer nor a refusal: %v", err)
	}
	_ = a.Body.Close()
	if a.StatusCode != http.StatusInternalServerError {
		t.Errorf("got %d, want 500", a.StatusCode)
	}
}

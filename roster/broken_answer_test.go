package roster_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/roster"
)

// Guards against a list that is read from a malformed answer, or from a part of one.
func TestBrokenAnswers(t *testing.T) {
	for _, broken := range append(raw.Malformed(), raw.Parts()[:2]...) {
		server := httptest.NewServer(broken.Handler("", `{"kind":"EndpointSliceList"}`))
		if list, err := roster.New(roster.WithEndpoint(server.URL)).List(context.Background()); err == nil {
			t.Errorf("%s: read %v", broken.Name, list)
		}
		server.Close()
	}
}

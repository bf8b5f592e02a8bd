package engine_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/engine"
)

// Guards against health reports and copies of KV caches that are read from a malformed answer, or from a part of one.
func TestBrokenAnswers(t *testing.T) {
	for _, broken := range append(raw.Malformed(), raw.Parts()[:2]...) {
		server := httptest.NewServer(broken.Handler("", `{"ready":true}`))
		client, address := engine.New(), strings.TrimPrefix(server.URL, "http://")
		if health, err := client.Health(context.Background(), address); err == nil {
			t.Errorf("%s: read %+v", broken.Name, health)
		}
		if data, err := client.ExportData(context.Background(), address, "export"); err == nil {
			t.Errorf("%s: read %q", broken.Name, data)
		}
		server.Close()
	}
}

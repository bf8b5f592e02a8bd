package engine_test

import (
	"context"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/engine"
)

// Guards against health reports and copies of KV caches that are read from a malformed answer, or from a part of one.
func TestBrokenAnswers(t *testing.T) {
	raw.ServeEach(raw.Broken(), "", `{"ready":true}`, func(broken *raw.Answer, address string) {
		client := engine.New()
		if health, err := client.Health(context.Background(), address); err == nil {
			t.Errorf("%s: read %+v", broken.Name, health)
		}
		if data, err := client.ExportData(context.Background(), address, "export"); err == nil {
			t.Errorf("%s: read %q", broken.Name, data)
		}
	})
}

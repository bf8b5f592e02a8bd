package objects_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/objects"
)

// Guards against objects that are read from a malformed answer, or from a part of one.
func TestBrokenAnswers(t *testing.T) {
	for _, broken := range append(raw.Malformed(), raw.Parts()[:2]...) {
		server := httptest.NewServer(broken.Handler("", "answer"))
		data, err := objects.New(objects.WithEndpoint(server.URL), objects.WithTimeout(timeout)).Get(context.Background(), "key")
		if errorClass(err) != "unavailable" {
			t.Errorf("%s: got %q and %v", broken.Name, data, err)
		}
		server.Close()
	}
}

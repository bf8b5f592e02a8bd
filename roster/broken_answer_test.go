package roster_test

import (
	"context"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/roster"
)

// Guards against a list that is read from a malformed answer, or from a part of one.
func TestBrokenAnswers(t *testing.T) {
	raw.ServeEach(raw.Broken(), "", `{"kind":"EndpointSliceList"}`, func(broken *raw.Answer, address string) {
		if list, err := roster.New(roster.WithEndpoint("http://" + address)).List(context.Background()); err == nil {
			t.Errorf("%s: read %v", broken.Name, list)
		}
	})
}

package objects_test

import (
	"context"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/objects"
)

// Guards against objects that are read from a malformed answer, or from a part of one.
func TestBrokenAnswers(t *testing.T) {
	raw.ServeEach(raw.Broken(), "", "answer", func(broken *raw.Answer, address string) {
		data, err := objects.New(objects.WithEndpoint("http://"+address), objects.WithTimeout(timeout)).Get(context.Background(), "key")
		if errorClass(err) != "unavailable" {
			t.Errorf("%s: got %q and %v", broken.Name, data, err)
		}
	})
}

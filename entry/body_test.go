package entry

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
)

func readBody(b *bodyBudget, timeout time.Duration, body string, length int64) ([]byte, func(), error) {
	r := httptest.NewRequest("POST", "/", io.NopCloser(strings.NewReader(body)))
	r.ContentLength = length
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return b.read(ctx, httptest.NewRecorder(), r)
}

// Request bodies that exceed the budget must wait or be rejected; otherwise a few very large prompts would exhaust the
// memory of the instance.
func TestBodyBudget(t *testing.T) {
	text := strings.Repeat("x", 1000)
	b := newBodyBudget(4000, 1500)
	_, releaseFirst, err := readBody(b, time.Second, text, 1000)
	if err != nil {
		t.Fatal(err)
	}
	_, releaseSecond, err := readBody(b, time.Second, text, 1000)
	if err != nil {
		t.Fatal(err)
	}
	var e *poplarwinch.Error
	if _, _, err := readBody(b, 20*time.Millisecond, text, 1000); !errors.As(err, &e) || e.Kind != poplarwinch.KindOverloaded {
		t.Fatalf("third body: %v, want overloaded", err)
	}
	releaseFirst()
	if _, release, err := readBody(b, time.Second, text, 1000); err != nil {
		t.Fatalf("after a release: %v", err)
	} else {
		release()
	}
	releaseSecond()
	for name, c := range map[string]struct {
		body   string
		length int64
		kind   poplarwinch.Kind
	}{
		"longer than allowed":        {strings.Repeat("x", 1501), 1501, poplarwinch.KindTooLarge},
		"too long, length not given": {strings.Repeat("x", 1501), -1, poplarwinch.KindTooLarge},
		"shorter than its length":    {"x", 2, poplarwinch.KindInvalidRequest},
		"length not given, in limit": {"x", -1, ""},
	} {
		body, release, err := readBody(b, time.Second, c.body, c.length)
		switch {
		case c.kind == "" && (err != nil || string(body) != c.body):
			t.Errorf("%s: %q, %v", name, body, err)
		case c.kind != "" && (!errors.As(err, &e) || e.Kind != c.kind):
			t.Errorf("%s: %v, want %s", name, err, c.kind)
		}
		if err == nil {
			release()
		}
	}
	if !b.memory.TryAcquire(4000) {
		t.Error("memory was not returned to the budget")
	}
}

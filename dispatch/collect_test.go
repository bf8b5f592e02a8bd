package dispatch_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against large answers that are cut, or mixed with others because the memory of their parts is used again.
func TestLargeAnswersStayApart(t *testing.T) {
	const answers, size = 8, 1<<20 + 17
	f := newFixture(t)
	f.answer = func(_ context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
		return complete(http.StatusOK, strings.Repeat(string(c.ID), size))
	}
	var requests sync.WaitGroup
	for n := range answers {
		requests.Go(func() {
			for range 5 {
				r := f.request(route.KindIdempotent)
				r.ID = poplarwinch.RequestID(rune('a' + n))
				if o := f.run(t.Context(), r); o.err != nil || o.body != strings.Repeat(string(r.ID), size) {
					t.Errorf("answer %s: %d bytes, %v, want %d of its own", r.ID, len(o.body), o.err, size)
				}
			}
		})
	}
	requests.Wait()
}

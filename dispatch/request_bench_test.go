package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/route"
)

// BenchmarkRequest measures the work of a prompt with 16 shared parts that is answered at once.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b)
	f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
		return complete(http.StatusOK, wholeStream)
	}
	r := f.request(route.KindStreaming)
	for n := range 16 {
		r.SharedParts = append(r.SharedParts, poplarwinch.PromptPartID(fmt.Sprint("part-", n)))
	}
	r.Model = "m"
	b.ReportAllocs()
	for b.Loop() {
		f.calls = f.calls[:0]
		r.Started = f.dispatcher.Now()
		r.Deadline = r.Started + 10_000
		if o := f.run(b.Context(), r); o.err != nil {
			b.Fatal(o.err)
		}
	}
}

package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against a successor whose load is never removed, because another one is chosen while the caller is slow to read the last event
// of an attempt that was given up.
func TestSuccessorIsNotForgottenForAnother(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.answer = func(ctx context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
			if n > 1 {
				return resumedStream(ctx, c, 0)
			}
			return &dispatch.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: &late{ctx: ctx, data: "id: 1\ndata: a\n\n"}}, nil
		}
		body, writes := "", 0
		err := f.dispatcher.Run(t.Context(), f.request(route.KindStreaming), dispatch.Reply{
			Begin: func(*dispatch.Answer) {},
			Write: func(data []byte) error {
				if writes++; writes == 1 {
					time.Sleep(2500 * time.Millisecond)
				}
				body += string(data)
				return nil
			},
		})
		if err != nil || body != wholeStream {
			t.Errorf("got %q and %v, want the whole stream", body, err)
		}
	})
}

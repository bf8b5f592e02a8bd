package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against the time in which a caller doesn't read being taken for the silence of its sound server.
func TestSlowCallerIsNotASilentServer(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			return resumedStream(ctx, c, 10*time.Millisecond)
		}
		body := ""
		err := f.dispatcher.Run(t.Context(), f.request(route.KindStreaming), dispatch.Reply{
			Begin: func(*dispatch.Answer) {},
			Write: func(data []byte) error { time.Sleep(1600 * time.Millisecond); body += string(data); return nil },
		})
		if err != nil || body != wholeStream || len(f.calls) != 1 {
			t.Errorf("got %q and %v after %d calls, want the whole stream from one call", body, err, len(f.calls))
		}
	})
}

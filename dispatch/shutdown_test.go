package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against requests that wait for a server until the process exits, and then get neither an answer nor a refusal.
func TestWaitingRequestIsRejectedBeforeTheExit(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		for _, id := range []poplarwinch.UpstreamID{"e1", "e2", "e3", "e4"} {
			defer f.fill(id)()
		}
		time.AfterFunc(time.Second, f.dispatcher.RejectWaiting)
		r := f.request(route.KindStreaming)
		r.Route.Target, r.Deadline = 20_000, r.Started+20_000
		began := time.Now()
		o := f.run(t.Context(), r)
		if waited := time.Since(began); o.err == nil || o.err.Outcome != poplarwinch.OutcomeNotRun || o.err.Kind != poplarwinch.KindUnavailable || waited > 1100*time.Millisecond {
			t.Errorf("got %+v after %s, want a refusal after 1 s", o.err, waited)
		}
	})
}

// Guards against requests that run until the process exits, and then get no response at all. Those that run when the others are rejected
// may complete.
func TestRunningRequestsEndBeforeTheExit(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(d *dispatch.Dispatcher)
		kind    poplarwinch.Kind
		outcome poplarwinch.Outcome
	}{
		"waiting ones are rejected": {(*dispatch.Dispatcher).RejectWaiting, "", ""},
		"all are ended":             {(*dispatch.Dispatcher).EndRequests, poplarwinch.KindUpstreamFailed, poplarwinch.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, f *fixture) {
				time.AfterFunc(time.Second, func() { c.end(f.dispatcher) })
				f.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
					if f.sleep(ctx, 2*time.Second) != nil {
						return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: context.Cause(ctx)}
					}
					return complete(http.StatusOK, "answer")
				}
				o := f.run(t.Context(), f.request(route.KindNonIdempotent))
				switch {
				case c.kind == "" && (o.err != nil || o.body != "answer"):
					t.Errorf("got %+v, want the answer", o)
				case c.kind != "" && (o.err == nil || o.err.Kind != c.kind || o.err.Outcome != c.outcome):
					t.Errorf("got %+v, want %s", o.err, c.kind)
				}
			})
		})
	}
}

package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against requests that get neither an answer nor a refusal, because their pool or their servers vanish while they wait for an engine,
// while memory is reserved for them, or while their server is silent.
func TestPoolVanishes(t *testing.T) {
	engines := []poplarwinch.UpstreamID{"e1", "e2", "e3", "e4"}
	for name, prepare := range map[string]func(f *fixture, r *dispatch.Request, vanish func()) (end func()){
		"while it waits": func(f *fixture, _ *dispatch.Request, vanish func()) func() {
			time.AfterFunc(20*time.Millisecond, vanish)
			var ends []func()
			for _, id := range engines {
				ends = append(ends, f.fill(id))
			}
			return func() {
				for _, end := range ends {
					end()
				}
			}
		},
		"while memory is reserved": func(f *fixture, r *dispatch.Request, vanish func()) func() {
			r.PromptTokens, r.Route.Target, r.Route.MaxPause, r.Deadline = 500_000, 10_000, 1000, r.Started+15_000
			f.onReserve = func() { time.AfterFunc(0, vanish) }
			return func() {}
		},
		"while its server is silent": func(f *fixture, _ *dispatch.Request, vanish func()) func() {
			f.noRetries()
			time.AfterFunc(1500*time.Millisecond, vanish)
			return func() {}
		},
	} {
		for kind, vanish := range map[string]func(f *fixture){
			"pool":    func(f *fixture) { f.activate(&route.Table{}) },
			"servers": func(f *fixture) { f.activate(&route.Table{}); f.fleet.Apply([]fleet.Server{}) },
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				runInVirtualTime(t, func(t *testing.T, f *fixture) {
					f.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
						if f.sleep(ctx, 2500*time.Millisecond) != nil {
							return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: context.Cause(ctx)}
						}
						return complete(http.StatusOK, wholeStream)
					}
					r := f.request(route.KindStreaming)
					end := prepare(f, r, func() { vanish(f) })
					o := f.run(t.Context(), r)
					end()
					switch {
					case o.err == nil && o.body != wholeStream:
						t.Errorf("got %q, want the whole stream", o.body)
					case o.err != nil && (o.begun > 0 || o.err.Outcome != poplarwinch.OutcomeNotRun):
						t.Errorf("got %+v after %d calls, want an answer or a refusal", o.err, len(f.calls))
					}
				})
			})
		}
	}
}

package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against requests that run twice or are lost: what each failure of the first server allows, by kind of request.
func TestFirstServerFails(t *testing.T) {
	for name, c := range map[string]struct {
		kind    route.Kind
		failure dispatch.Failure
		calls   int
		errors  poplarwinch.Kind
		outcome poplarwinch.Outcome
	}{
		"not sent":                       {route.KindNonIdempotent, dispatch.FailureNotSent, 2, "", ""},
		"refused":                        {route.KindNonIdempotent, dispatch.FailureRefused, 2, "", ""},
		"another server at the address":  {route.KindNonIdempotent, dispatch.FailureReplaced, 2, "", ""},
		"broken, at most once":           {route.KindNonIdempotent, dispatch.FailureBroken, 1, poplarwinch.KindUpstreamFailed, poplarwinch.OutcomeUnknown},
		"foreign answer, at most once":   {route.KindNonIdempotent, dispatch.FailureForeign, 1, poplarwinch.KindUpstreamFailed, poplarwinch.OutcomeUnknown},
		"broken, idempotent":             {route.KindIdempotent, dispatch.FailureBroken, 2, "", ""},
		"broken, stream without events":  {route.KindStreaming, dispatch.FailureBroken, 2, "", ""},
		"foreign answer, idempotent":     {route.KindIdempotent, dispatch.FailureForeign, 2, "", ""},
		"refused, stream without events": {route.KindStreaming, dispatch.FailureRefused, 2, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			virtual(t, func(t *testing.T, w *world) {
				w.answer = func(_ context.Context, n int, _ *dispatch.Call) (*dispatch.Answer, error) {
					if n == 1 {
						return failure(c.failure)
					}
					return whole(http.StatusOK, "id: 1\ndata: x\n\n")
				}
				o := w.run(t.Context(), w.request(c.kind))
				if len(w.calls) != c.calls {
					t.Errorf("got %d calls, want %d", len(w.calls), c.calls)
				}
				switch {
				case c.errors == "" && (o.err != nil || o.status != http.StatusOK):
					t.Errorf("got %+v, want the answer", o)
				case c.errors != "" && (o.err == nil || o.err.Kind != c.errors || o.err.Outcome != c.outcome || o.begun > 0):
					t.Errorf("got %+v, want %s with outcome %s", o, c.errors, c.outcome)
				}
				if c.calls == 2 && w.calls[0].Server.ID == w.calls[1].Server.ID {
					t.Error("the second call went to the server that failed")
				}
			})
		})
	}
}

// Guards against a promise that a request has not run after one attempt may have run it.
func TestRefusalAfterRun(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.answer = func(_ context.Context, n int, _ *dispatch.Call) (*dispatch.Answer, error) {
			if n == 1 {
				return failure(dispatch.FailureBroken)
			}
			return failure(dispatch.FailureRefused)
		}
		o := w.run(t.Context(), w.request(route.KindIdempotent))
		if o.err == nil || o.err.Kind != poplarwinch.KindUpstreamFailed || o.err.Outcome == poplarwinch.OutcomeNotRun {
			t.Errorf("got %+v, want a failure that promises nothing", o.err)
		}
	})
}

// Guards against the same promise when no server is left for a second attempt.
func TestNoServerAfterRun(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			w.fleet.Apply(nil)
			return failure(dispatch.FailureBroken)
		}
		o := w.run(t.Context(), w.request(route.KindIdempotent))
		if o.err == nil || o.err.Kind.Status() == http.StatusServiceUnavailable || o.err.Outcome == poplarwinch.OutcomeNotRun {
			t.Errorf("got %+v, want a failure that promises nothing", o.err)
		}
	})
}

// Guards against retries without end when every server refuses.
func TestAllRefuse(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return failure(dispatch.FailureRefused)
		}
		o := w.run(t.Context(), w.request(route.KindNonIdempotent))
		if o.err == nil || o.err.Outcome != poplarwinch.OutcomeNotRun || o.err.Kind.Status() != http.StatusServiceUnavailable || o.err.RetryAfter <= 0 {
			t.Errorf("got %+v, want a refusal with a hint", o.err)
		}
		if len(w.calls) > 6 {
			t.Errorf("got %d calls", len(w.calls))
		}
	})
}

// Guards against gaps, repeats and parts of events when a stream breaks off: the next server goes on after the last whole
// event, and the caller sees one answer with the headers of the first server.
func TestResume(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.answer = func(_ context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
			if n == 1 {
				return broken("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
			}
			if c.Resume != "2" {
				t.Errorf("resumed after %q, want 2", c.Resume)
			}
			return whole(http.StatusOK, "id: 3\ndata: c\n\n")
		}
		o := w.run(t.Context(), w.request(route.KindStreaming))
		if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; o.err != nil || o.body != want || o.begun != 1 {
			t.Errorf("got %+v, want %q", o, want)
		}
		if o.header.Get("Server") != "first" {
			t.Error("the headers are not those of the first server")
		}
	})
}

// Guards against a stream that ends early and looks complete.
func TestBrokenStreamsEndInError(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return broken("id: 1\ndata: a\n\n")
		}
		r := w.request(route.KindStreaming)
		r.Route.Resumable = false
		if o := w.run(t.Context(), r); o.err == nil || len(w.calls) != 1 {
			t.Errorf("got %+v after %d calls, want an error after one", o, len(w.calls))
		}
	})
}

// Guards against callers that wait for a server which sends nothing: the request moves on while the caller is patient.
func TestSilentServer(t *testing.T) {
	for _, kind := range []route.Kind{route.KindIdempotent, route.KindStreaming} {
		virtual(t, func(t *testing.T, w *world) {
			w.answer = func(ctx context.Context, n int, _ *dispatch.Call) (*dispatch.Answer, error) {
				if n == 1 {
					return silence(ctx)
				}
				return whole(http.StatusOK, "id: 1\ndata: a\n\n")
			}
			began := time.Now()
			if o := w.run(t.Context(), w.request(kind)); o.err != nil {
				t.Errorf("%s: got %+v, want the answer of the second server", kind, o.err)
			}
			if waited := time.Since(began); waited > 2*time.Second {
				t.Errorf("%s: waited %s", kind, waited)
			}
		})
	}
}

// Guards against requests without a final answer at their deadline.
func TestDeadline(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) { return silence(ctx) }
		began := time.Now()
		o := w.run(t.Context(), w.request(route.KindNonIdempotent))
		if o.err == nil || o.err.Kind != poplarwinch.KindDeadlineExceeded || o.err.Outcome != poplarwinch.OutcomeUnknown {
			t.Errorf("got %+v, want the deadline with an unknown outcome", o.err)
		}
		if waited := time.Since(began); waited > 4100*time.Millisecond {
			t.Errorf("the end came after %s, want 4 s", waited)
		}
	})
}

// Guards against servers that work for callers who left.
func TestCallerLeaves(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		ended := false
		w.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
			a, err := silence(ctx)
			ended = true
			return a, err
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		o := w.run(ctx, w.request(route.KindIdempotent))
		if !ended || o.err == nil || len(w.calls) != 1 {
			t.Errorf("got %+v after %d calls, ended %t", o.err, len(w.calls), ended)
		}
	})
}

// Guards against a request that crashes one server after the other: after three deaths its repeats are refused.
func TestCrashingRequest(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.answer = func(_ context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			w.mutex.Lock()
			w.dead[c.Server.ID] = true
			w.mutex.Unlock()
			return failure(dispatch.FailureBroken)
		}
		for range 4 {
			w.run(t.Context(), w.request(route.KindStreaming))
			time.Sleep(time.Second)
		}
		if len(w.calls) > 4 {
			t.Errorf("the request reached %d servers", len(w.calls))
		}
		o := w.run(t.Context(), w.request(route.KindStreaming))
		if o.err == nil || o.err.Outcome != poplarwinch.OutcomeNotRun || o.err.RetryAfter <= 0 {
			t.Errorf("got %+v, want a refusal", o.err)
		}
		other := w.request(route.KindStreaming)
		other.Fingerprint = quarantine.Of("c", "/other/", nil)
		w.mutex.Lock()
		w.dead = map[poplarwinch.UpstreamID]bool{}
		w.mutex.Unlock()
		time.Sleep(2 * time.Second)
		w.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) { return whole(http.StatusOK, "x") }
		if o := w.run(t.Context(), other); o.err != nil {
			t.Errorf("another request got %+v", o.err)
		}
	})
}

// Guards against memory that stays reserved: however a huge prompt ends, its reservations are released.
func TestReservationsEnd(t *testing.T) {
	for name, answer := range map[string]func(ctx context.Context) (*dispatch.Answer, error){
		"answered": func(context.Context) (*dispatch.Answer, error) { return whole(http.StatusOK, "id: 1\ndata: a\n\n") },
		"refused":  func(context.Context) (*dispatch.Answer, error) { return failure(dispatch.FailureRefused) },
		"broken":   func(context.Context) (*dispatch.Answer, error) { return failure(dispatch.FailureBroken) },
		"silent":   silence,
	} {
		t.Run(name, func(t *testing.T) {
			virtual(t, func(t *testing.T, w *world) {
				most := 0
				w.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
					most = max(most, w.reservations())
					if len(c.Helpers) == 0 || c.Helpers[0].ID != c.Server.ID || c.Helpers[0].Reservation == "" {
						t.Errorf("the first engine does not come first with its reservation: %+v", c.Helpers)
					}
					return answer(ctx)
				}
				r := w.request(route.KindStreaming)
				r.Prompt, r.Route.Target, r.Route.MaxPause, r.Deadline = 500_000, 10_000, 1000, r.Started+15_000
				w.run(t.Context(), r)
				if most < 2 {
					t.Errorf("at most %d reservations, want several", most)
				}
			})
		})
	}
}

// Guards against a huge prompt that is sent without its memory, or held although it can't come in time any more.
func TestNoMemory(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.refuse = true
		w.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) { return whole(http.StatusOK, "x") }
		r := w.request(route.KindStreaming)
		r.Prompt, r.Route.Target, r.Route.MaxPause, r.Deadline = 500_000, 4000, 1000, r.Started+15_000
		o := w.run(t.Context(), r)
		if len(w.calls) != 0 || o.err == nil || o.err.Outcome != poplarwinch.OutcomeNotRun {
			t.Errorf("got %+v after %d calls, want a refusal", o.err, len(w.calls))
		}
	})
}

// Guards against requests whose log lines don't tell why they failed.
func TestLogFollowsRequest(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.answer = func(_ context.Context, n int, _ *dispatch.Call) (*dispatch.Answer, error) {
			if n == 1 {
				return failure(dispatch.FailureRefused)
			}
			return whole(http.StatusOK, "id: 1\ndata: x\n\n")
		}
		w.run(t.Context(), w.request(route.KindStreaming))
		var messages []string
		for _, e := range w.log.Entries {
			if e.Fields["request-id"] == poplarwinch.RequestID("r1") {
				messages = append(messages, e.Message)
			}
		}
		want := []string{"routing decision", "attempt failed", "routing decision", "request ended"}
		if len(messages) != len(want) {
			t.Fatalf("got the lines %q, want %q", messages, want)
		}
		for i := range want {
			if messages[i] != want[i] {
				t.Errorf("line %d is %q, want %q", i, messages[i], want[i])
			}
		}
	})
}

// Guards against a renewal that stops: a reservation is renewed while its prompt runs.
func TestReservationsAreRenewed(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		renewed := map[engine.ReservationID]int{}
		reserve := w.builder.Reserve
		w.builder.Reserve = func(ctx context.Context, address string, r engine.Reservation) error {
			w.mutex.Lock()
			renewed[r.ID]++
			w.mutex.Unlock()
			return reserve(ctx, address, r)
		}
		w.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			time.Sleep(4500 * time.Millisecond)
			return whole(http.StatusOK, "id: 1\ndata: a\n\n")
		}
		r := w.request(route.KindStreaming)
		r.Prompt, r.Route.Target, r.Route.MaxPause, r.Deadline = 500_000, 10_000, 1000, r.Started+15_000
		w.run(t.Context(), r)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for id, n := range renewed {
			if n < 4 {
				t.Errorf("%s was reserved %d times in 4.5 s, want every second", id, n)
			}
		}
	})
}

// Guards against memory that stays reserved because a renewal overtakes the release: it is released after the last renewal.
func TestRenewalBeforeRelease(t *testing.T) {
	virtual(t, func(t *testing.T, w *world) {
		w.builder.Reserve = func(ctx context.Context, address string, r engine.Reservation) error {
			time.Sleep(30 * time.Millisecond) // the order is on its way, whatever becomes of its sender
			return w.reserve(ctx, address, r)
		}
		w.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			time.Sleep(1010 * time.Millisecond)
			return whole(http.StatusOK, "id: 1\ndata: a\n\n")
		}
		r := w.request(route.KindStreaming)
		r.Prompt, r.Route.Target, r.Route.MaxPause, r.Deadline = 500_000, 10_000, 1000, r.Started+15_000
		w.run(t.Context(), r)
	})
}

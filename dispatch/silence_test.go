package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// silentTime is the time for which a sound server falls silent.
	silentTime = 1300 * time.Millisecond
	// wholeStream is the stream that the servers send.
	wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
)

// pausing is a response body that pauses once, after its first part.
type pausing struct {
	ctx   context.Context
	parts []string
	pause time.Duration
	reads int
}

// Read returns the next part, the second one after the pause, or an error if the call ends meanwhile.
func (b *pausing) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if b.reads == 1 {
		select {
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		case <-time.After(b.pause):
		}
	}
	b.reads++
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// Close does nothing.
func (b *pausing) Close() error { return nil }

// pausingStream returns a stream whose server falls silent after the first part.
func pausingStream(ctx context.Context, pause time.Duration, parts ...string) (*dispatch.Answer, error) {
	return &dispatch.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: &pausing{ctx: ctx, parts: parts, pause: pause}}, nil
}

// resumedStream returns wholeStream from the event after the one that the caller has received, with a pause after its first event.
func resumedStream(ctx context.Context, c *dispatch.Call, pause time.Duration) (*dispatch.Answer, error) {
	events := strings.SplitAfter(wholeStream, "\n\n")[:3]
	for i, e := range events {
		if c.ResumeAfter != "" && strings.HasPrefix(e, "id: "+c.ResumeAfter+"\n") {
			events = events[i+1:]
			break
		}
	}
	return pausingStream(ctx, pause, events...)
}

// noRetries uses up the retry budgets.
func (f *fixture) noRetries() { f.retriesPerRequest, f.sharedRetries = 0, 0 }

// fill occupies all slots of an engine until the returned function is called.
func (f *fixture) fill(id poplarwinch.UpstreamID) (end func()) {
	var tickets []*fleet.Ticket
	for range 16 {
		tickets = append(tickets, f.fleet.Begin(fleet.Work{First: id}))
	}
	return func() {
		for _, t := range tickets {
			t.End()
		}
	}
}

// Guards against a stream that is broken off, because its sound server was silent for a moment, while no other server can take over.
func TestSilentStreamWithoutSuccessor(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture) (end func()){
		"retry budget used up": func(f *fixture) func() { f.noRetries(); return func() {} },
		"other engines full": func(f *fixture) func() {
			ends := []func(){f.fill("e2"), f.fill("e3"), f.fill("e4")}
			return func() {
				for _, end := range ends {
					end()
				}
			}
		},
		"no other engine": func(f *fixture) func() {
			f.fleet.Apply([]fleet.Server{{ID: "e1", Address: "e1:80", Domain: "north", Service: "pool", Slots: 16}})
			return func() {}
		},
		"other engines unreachable": func(f *fixture) func() {
			for _, id := range []poplarwinch.UpstreamID{"e2", "e3", "e4"} {
				f.fleet.Unreachable(fleet.Server{ID: id, Address: string(id) + ":80", Service: "pool"})
			}
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, f *fixture) {
				defer prepare(f)()
				f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
					return resumedStream(ctx, c, silentTime)
				}
				if o := f.run(t.Context(), f.request(route.KindStreaming)); o.err != nil || o.body != wholeStream {
					t.Errorf("got %q and %+v, want the whole stream", o.body, o.err)
				}
			})
		})
	}
}

// Guards against a plain request that fails, because its sound server was silent for a moment, while no other server can take over.
func TestSilentAnswerWithoutSuccessor(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.noRetries()
		f.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
			if f.sleep(ctx, 1200*time.Millisecond) != nil {
				return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: context.Cause(ctx)}
			}
			return complete(http.StatusOK, "answer")
		}
		if o := f.run(t.Context(), f.request(route.KindIdempotent)); o.err != nil || o.body != "answer" || len(f.calls) != 1 {
			t.Errorf("got %q and %+v after %d calls, want the answer", o.body, o.err, len(f.calls))
		}
	})
}

// Guards against a stream that is cut for silence although nothing can continue it: it began with a comment, or its events have no ids.
func TestSilentStreamThatCannotBeResumed(t *testing.T) {
	for name, first := range map[string]string{"comment": ": waiting\n\n", "event without an id": "data: a\n\n"} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, f *fixture) {
				f.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
					return pausingStream(ctx, 2500*time.Millisecond, first, "data: b\n\n")
				}
				if o := f.run(t.Context(), f.request(route.KindStreaming)); o.err != nil || o.body != first+"data: b\n\n" {
					t.Errorf("got %q and %+v, want the whole stream", o.body, o.err)
				}
			})
		})
	}
}

// late is a response body whose data is read in the moment in which the call ends.
type late struct {
	ctx  context.Context
	data string
}

// Read returns the data once the call has ended, and then an error.
func (b *late) Read(p []byte) (int, error) {
	<-b.ctx.Done()
	if b.data == "" {
		return 0, context.Cause(b.ctx)
	}
	n := copy(p, b.data)
	b.data = ""
	return n, nil
}

// Close does nothing.
func (b *late) Close() error { return nil }

// Guards against a stream that breaks off because it begins, with something that can't be continued, in the moment in which a successor
// takes over.
func TestStreamThatBeginsAsItIsGivenUp(t *testing.T) {
	for name, first := range map[string]string{"comment": ": waiting\n\n", "event without an id": "data: a\n\n", "event": "id: 1\ndata: a\n\n"} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, f *fixture) {
				f.answer = func(ctx context.Context, n int, c *dispatch.Call) (*dispatch.Answer, error) {
					if n > 1 {
						return resumedStream(ctx, c, 0)
					}
					return &dispatch.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: &late{ctx: ctx, data: first}}, nil
				}
				if o := f.run(t.Context(), f.request(route.KindStreaming)); o.err != nil || o.body != wholeStream || len(f.calls) != 2 {
					t.Errorf("got %q and %+v after %d calls, want the whole stream", o.body, o.err, len(f.calls))
				}
			})
		})
	}
}

// Guards against many streams that are cut at once, because their sound servers were silent at the same time: all of them end complete,
// and those that are resumed elsewhere stay within the retry budget.
func TestManySilentStreams(t *testing.T) {
	const streams = 24
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.sharedRetries = 0
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			return resumedStream(ctx, c, silentTime)
		}
		var requests sync.WaitGroup
		for i := range streams {
			r := f.request(route.KindStreaming)
			r.ID, r.Route.Target = poplarwinch.RequestID(fmt.Sprintf("r%d", i)), 500
			requests.Go(func() {
				if o := f.run(t.Context(), r); o.err != nil || o.body != wholeStream {
					t.Errorf("%s: got %q and %+v, want the whole stream", r.ID, o.body, o.err)
				}
			})
		}
		requests.Wait()
		if repeats := len(f.calls) - streams; float64(repeats) > f.retriesPerRequest*streams {
			t.Errorf("%d repeats, want %.0f%% of %d requests at most", repeats, 100*f.retriesPerRequest, streams)
		}
	})
}

// Guards against a wait for a dead server: one that is silent and accepts no connections is given up although no other can take over.
func TestDeadServerWithoutSuccessor(t *testing.T) {
	for _, kind := range []route.Kind{route.KindIdempotent, route.KindStreaming} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			f.noRetries()
			f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
				f.mutex.Lock()
				f.unreachable[c.Server.ID] = true
				f.mutex.Unlock()
				return silence(ctx)
			}
			began := time.Now()
			o := f.run(t.Context(), f.request(kind))
			if waited := time.Since(began); o.err == nil || o.err.Kind != poplarwinch.KindUpstreamFailed || waited > 2500*time.Millisecond {
				t.Errorf("%s: got %+v after %s, want a failure soon", kind, o.err, waited)
			}
			f.mutex.Lock()
			f.unreachable = map[poplarwinch.UpstreamID]bool{}
			f.mutex.Unlock()
			time.Sleep(2 * time.Second)
		})
	}
}

// Guards against a request that stays on a silent server although another one has become free meanwhile.
func TestSilentStreamMovesOnceAnEngineIsFree(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.fleet.Apply([]fleet.Server{
			{ID: "e1", Address: "e1:80", Domain: "north", Service: "pool", Slots: 16}, {ID: "e2", Address: "e2:80", Domain: "north", Service: "pool", Slots: 16},
		})
		end := f.fill("e2")
		time.AfterFunc(2*time.Second, end)
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			return resumedStream(ctx, c, map[poplarwinch.UpstreamID]time.Duration{"e1": time.Hour}[c.Server.ID])
		}
		began := time.Now()
		o := f.run(t.Context(), f.request(route.KindStreaming))
		if waited := time.Since(began); o.err != nil || o.body != wholeStream || waited > 2600*time.Millisecond {
			t.Errorf("got %q and %+v after %s, want the rest from the other engine within 2.6 s", o.body, o.err, waited)
		}
	})
}

// Guards against a successor that is prepared and then forgotten, with its load and its reservations, when the answer comes after all.
func TestAnswerWhileSuccessorIsPrepared(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		first, preparing := map[engine.ReservationID]bool{}, make(chan struct{})
		var once sync.Once
		f.builder.Reserve = func(ctx context.Context, address string, r engine.Reservation) error {
			f.mutex.Lock()
			if len(f.calls) == 0 {
				first[r.ID] = true
			}
			isSuccessor := !first[r.ID]
			f.mutex.Unlock()
			if isSuccessor {
				once.Do(func() { close(preparing) })
				time.Sleep(100 * time.Millisecond) // the reservation takes effect even if ctx ends meanwhile
			}
			return f.reserve(ctx, address, r)
		}
		f.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
			select {
			case <-ctx.Done():
				return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: context.Cause(ctx)}
			case <-preparing:
				return complete(http.StatusOK, wholeStream)
			}
		}
		for _, id := range []poplarwinch.UpstreamID{"e1", "e2", "e3", "e4"} {
			other := f.fleet.Begin(fleet.Work{First: id, Memory: 300_000})
			other.FirstEvent()
			defer other.End()
		}
		r := f.request(route.KindStreaming)
		r.PromptTokens, r.Route.Target, r.Route.MaxPause, r.Deadline = 120_000, 10_000, 1000, r.Started+15_000
		if o := f.run(t.Context(), r); o.err != nil || o.body != wholeStream || len(f.calls) != 1 || len(first) < 2 {
			t.Errorf("got %q and %+v after %d calls, want the answer of the first engine", o.body, o.err, len(f.calls))
		}
	})
}

// Guards against a long prompt whose attempt is ended, because its sound engine was silent when it was asked whether the reserved memory is
// in use. One that never answers is given up while the limit for unused reservations still leaves time for the releases.
func TestSilentEngineHoldsReservations(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			f.reservationsUsed, f.mute = true, true
			if recovers {
				time.AfterFunc(7*time.Second, func() {
					f.mutex.Lock()
					f.mute = false
					f.mutex.Unlock()
				})
			}
			f.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
				if f.sleep(ctx, 8500*time.Millisecond) != nil {
					return nil, &dispatch.CallError{Failure: dispatch.FailureBroken, Cause: context.Cause(ctx)}
				}
				return complete(http.StatusOK, wholeStream)
			}
			r := f.request(route.KindStreaming)
			r.PromptTokens, r.Route.Target, r.Route.MaxPause, r.Deadline = 500_000, 10_000, 1000, r.Started+15_000
			r.Route.Resumable, r.Route.MaxAttempts = false, 1
			began := time.Now()
			o := f.run(t.Context(), r)
			if waited := time.Since(began); recovers != (o.err == nil) || !recovers && waited > 8*time.Second {
				t.Errorf("recovers %t: got %q and %+v after %s", recovers, o.body, o.err, waited)
			}
		})
	}
}

// blame records crashes of three servers, one after the other, on prompts with the parts.
func (f *fixture) blame(parts ...poplarwinch.PromptPartID) {
	for n := range 3 {
		request := quarantine.FingerprintOf("c", "/x/", fmt.Append(nil, "blamed", n))
		f.suspects.RecordCrash(quarantine.NewPromptSuspects(request, parts), quarantine.Death{
			Upstream: poplarwinch.UpstreamID(fmt.Sprint("crashed", n)), At: f.dispatcher.Now(), Silence: 100,
		})
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// Guards against a sound stream that is broken off, because its sound server was silent for a moment, while another one could take over but
// the prompt may not be sent to a second server: it has one of two parts of which one crashes servers.
func TestSilentStreamOfASuspect(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.blame(crashingPart, "shared")
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			return resumedStream(ctx, c, silentTime)
		}
		r := f.request(route.KindStreaming)
		r.Model, r.SharedParts = "m", []poplarwinch.PromptPartID{"shared"}
		if o := f.run(t.Context(), r); o.err != nil || o.body != wholeStream || len(f.calls) != 1 {
			t.Errorf("got %q and %+v after %d calls, want the whole stream from one server", o.body, o.err, len(f.calls))
		}
	})
}

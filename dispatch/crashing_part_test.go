package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	crashingPart poplarwinch.PromptPartID = "bad"
	// restartTime is the time after which a crashed server accepts connections again, under a new id.
	restartTime = 3 * time.Second
	// prefillTime is the time until a server sends the first event, or crashes.
	prefillTime = 150 * time.Millisecond
	// answerTime is the time from the first event to the end of the answer.
	answerTime = 1500 * time.Millisecond
	// learningTime is the time after the fifth crash in which instances have to learn of the part.
	learningTime = 3 * clock.Second
)

// crashingServers are servers that crash when they begin to answer a prompt with crashingPart, and all their answers with them.
type crashingServers struct {
	*fixture
	mutex sync.Mutex
	list  []fleet.Server
	// crashed is closed when the server crashes.
	crashed map[poplarwinch.UpstreamID]chan struct{}
	// crashes are the times of the crashes; sends are those of attempts with crashingPart.
	crashes []clock.Millis
	sends   []clock.Millis
	starts  int
	// crashAge is the time from the first event of a prompt with crashingPart to the crash; zero crashes before the first event.
	crashAge time.Duration
	// answerTime is the time from the first event of an answer to the last one, and events the number of events.
	answerTime time.Duration
	events     int
}

func newCrashingServers(f *fixture, count int) *crashingServers {
	s := &crashingServers{fixture: f, crashed: map[poplarwinch.UpstreamID]chan struct{}{}, answerTime: answerTime, events: 8}
	for range count {
		s.start()
	}
	f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) { return s.serve(ctx, c) }
	return s
}

// start adds a server to the list.
func (s *crashingServers) start() {
	s.mutex.Lock()
	s.starts++
	id := poplarwinch.UpstreamID(fmt.Sprintf("p%d", s.starts))
	s.list = append(s.list, fleet.Server{ID: id, Address: string(id) + ":80", Domain: "north", Service: "pool", Slots: 16})
	s.crashed[id] = make(chan struct{})
	list := slices.Clone(s.list)
	s.mutex.Unlock()
	s.fleet.Apply(list)
}

// crash ends a server because of a prompt with crashingPart.
func (s *crashingServers) crash(id poplarwinch.UpstreamID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.end(id) {
		s.crashes = append(s.crashes, s.dispatcher.Now())
	}
}

// end ends a server and starts another one after restartTime. It reports false if the server had ended before. The caller holds the lock.
func (s *crashingServers) end(id poplarwinch.UpstreamID) bool {
	select {
	case <-s.crashed[id]:
		return false
	default:
	}
	close(s.crashed[id])
	s.fixture.mutex.Lock()
	s.unreachable[id] = true
	s.fixture.mutex.Unlock()
	time.AfterFunc(restartTime, func() {
		s.mutex.Lock()
		s.list = slices.DeleteFunc(s.list, func(o fleet.Server) bool { return o.ID == id })
		s.mutex.Unlock()
		s.start()
	})
	return true
}

// serve sends the first event after prefillTime and the rest within answerTime, unless the server crashes. A resumed answer goes on after
// the last event that the caller has.
func (s *crashingServers) serve(ctx context.Context, c *dispatch.Call) (*dispatch.Answer, error) {
	bad := slices.Contains(c.SharedParts, crashingPart)
	s.mutex.Lock()
	crashed := s.crashed[c.Server.ID]
	if bad {
		s.sends = append(s.sends, s.dispatcher.Now())
	}
	s.mutex.Unlock()
	select {
	case <-crashed:
		return failure(dispatch.FailureBroken)
	case <-ctx.Done():
		return failure(dispatch.FailureBroken)
	case <-time.After(prefillTime):
	}
	if bad && s.crashAge == 0 {
		s.crash(c.Server.ID)
		return failure(dispatch.FailureBroken)
	}
	sent, _ := strconv.Atoi(c.ResumeAfter) // zero without one
	body := &answering{crashed: crashed, ctx: ctx, events: s.events, sent: sent, pause: s.answerTime / time.Duration(s.events-1)}
	if bad {
		time.AfterFunc(s.crashAge, func() {
			if body.isOpen() {
				s.crash(c.Server.ID)
			}
		})
	}
	return &dispatch.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: body}, nil
}

// prompt returns a request of its own for the route, with the parts.
func (s *crashingServers) prompt(n int, parts ...poplarwinch.PromptPartID) *dispatch.Request {
	r := s.request(route.KindStreaming)
	r.ID = poplarwinch.RequestID(fmt.Sprintf("r%d", n))
	r.Model, r.SharedParts = "m", parts
	r.Fingerprint = quarantine.FingerprintOf("c", "/x/", fmt.Append(nil, n))
	return r
}

// sendsAfter returns the number of attempts with crashingPart that were sent after the time.
func (s *crashingServers) sendsAfter(at clock.Millis) int {
	count := 0
	for _, t := range s.sends {
		if t > at {
			count++
		}
	}
	return count
}

// isLate reports whether twice the time has passed in which instances have to learn of the part after the fifth crash.
func (s *crashingServers) isLate() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.crashes) >= 5 && s.dispatcher.Now() > s.crashes[4]+2*learningTime
}

// answering is the body of a stream that breaks off when its server crashes.
type answering struct {
	crashed chan struct{}
	ctx     context.Context
	events  int
	sent    int
	// pause is the time between two events.
	pause time.Duration
	begun bool
	ended atomic.Bool
}

// isOpen reports whether the server still writes the answer.
func (a *answering) isOpen() bool { return !a.ended.Load() && a.ctx.Err() == nil }

// Read returns one event; the first one at once.
func (a *answering) Read(data []byte) (int, error) {
	if a.sent >= a.events {
		a.ended.Store(true)
		return 0, io.EOF
	}
	pause := a.pause
	if !a.begun {
		pause = 0
	}
	a.begun = true
	select {
	case <-a.crashed:
		return 0, io.ErrUnexpectedEOF
	case <-a.ctx.Done():
		return 0, a.ctx.Err()
	case <-time.After(pause):
	}
	a.sent++
	return copy(data, fmt.Sprintf("id: %d\ndata: x\n\n", a.sent)), nil
}

// Close does nothing.
func (*answering) Close() error { return nil }

// Guards against requests that crash one server after the other, though no two are alike, because they share a part of their prompts.
func TestRequestsWithTheSameCrashingPart(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		s := newCrashingServers(f, 16)
		random := rand.New(rand.NewPCG(1, 1))
		var wait sync.WaitGroup
		refused, others := 0, 0
		var mutex sync.Mutex
		for n := range 600 {
			parts := []poplarwinch.PromptPartID{"instructions"}
			bad := n > 60 && random.Float64() < 0.05
			if bad {
				parts = append(parts, crashingPart)
			}
			r := s.prompt(n, parts...)
			late := s.isLate()
			wait.Go(func() {
				o := f.run(t.Context(), r)
				mutex.Lock()
				defer mutex.Unlock()
				if late && !bad {
					others++
					if o.err != nil {
						refused++
					}
				}
			})
			time.Sleep(33 * time.Millisecond)
		}
		wait.Wait()
		if len(s.crashes) < 5 {
			t.Fatalf("%d servers crashed, want 5 at least", len(s.crashes))
		}
		if n := s.sendsAfter(s.crashes[4] + learningTime); n > 3 {
			t.Errorf("%d attempts with the part 3 s after the fifth crash, %d crashes in all; want 3 at most", n, len(s.crashes))
		}
		if others < 100 || refused > others/100 {
			t.Errorf("%d of %d other requests failed after that", refused, others)
		}
	})
}

// Guards against a crashing part that is learned anew for each model, customer or route with which it comes, and against a sound part of
// nine prompts in ten that is blocked instead.
func TestCrashingPartWithAllModels(t *testing.T) {
	for name, vary := range map[string]func(r *dispatch.Request, n int){
		"models":    func(r *dispatch.Request, n int) { r.Model = poplarwinch.ModelName(fmt.Sprint("m", n%6)) },
		"customers": func(r *dispatch.Request, n int) { r.Customer = poplarwinch.CustomerID(fmt.Sprint("c", n%6)) },
		"routes":    func(r *dispatch.Request, n int) { r.Route.Name = fmt.Sprint("route-", n%6) },
		"all": func(r *dispatch.Request, n int) {
			r.Model, r.Customer = poplarwinch.ModelName(fmt.Sprint("m", n%6)), poplarwinch.CustomerID(fmt.Sprint("c", n%5))
			r.Route.Name = fmt.Sprint("route-", n%4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, f *fixture) { playCrashingPart(t, f, 0, vary) })
		})
	}
}

// playCrashingPart plays prompts of which nine in ten have a common part, and one in ten a crashing one.
func playCrashingPart(t *testing.T, f *fixture, seed uint64, vary func(r *dispatch.Request, n int)) {
	s := newCrashingServers(f, 12)
	random := rand.New(rand.NewPCG(seed, 1))
	var wait sync.WaitGroup
	var mutex sync.Mutex
	failed, sound := 0, 0
	for n := range 300 {
		var parts []poplarwinch.PromptPartID
		if random.Float64() < 0.9 {
			parts = append(parts, "common")
		}
		bad := n > 30 && random.Float64() < 0.1
		if bad {
			parts = append(parts, crashingPart)
		}
		r, late := s.prompt(n, parts...), n >= 150
		vary(r, n)
		wait.Go(func() {
			o := f.run(t.Context(), r)
			mutex.Lock()
			defer mutex.Unlock()
			if late && !bad {
				sound++
				if o.err != nil {
					failed++
				}
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	if len(s.crashes) < 3 {
		t.Fatalf("%d servers crashed, want 3 at least", len(s.crashes))
	}
	if n := s.sendsAfter(s.crashes[min(len(s.crashes), 5)-1] + learningTime); n > 3 {
		t.Errorf("%d attempts with the part 3 s after the fifth crash or the last one, %d crashes in all; want 3 at most", n, len(s.crashes))
	}
	if sound < 100 || failed > sound/100 {
		t.Errorf("%d of %d sound prompts failed in the second half", failed, sound)
	}
}

// Guards against an answer that clears a part, or a trial that tests its block, with effect for one model only.
func TestBlockOfAPartEndsForAllModels(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.blame(crashingPart)
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return complete(http.StatusOK, wholeStream)
		}
		send := func(model poplarwinch.ModelName) *poplarwinch.Error {
			r := f.request(route.KindStreaming)
			r.Model, r.SharedParts = model, []poplarwinch.PromptPartID{crashingPart}
			return f.run(t.Context(), r).err
		}
		for _, model := range []poplarwinch.ModelName{"m", "n", "o"} {
			if send(model) == nil {
				t.Errorf("the part is not blocked for model %s", model)
			}
		}
		time.Sleep(3 * time.Minute)
		if err := send("n"); err != nil {
			t.Errorf("the trial got %v", err)
		}
		for _, model := range []poplarwinch.ModelName{"m", "n", "o"} {
			if err := send(model); err != nil {
				t.Errorf("after the answer of model n the part is blocked for model %s: %v", model, err)
			}
		}
	})
}

// Guards against a part that is taken for harmless because its server fell silent after the first event, and was found crashed later.
func TestCrashAfterTheFirstEventCounts(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.answer = func(ctx context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
			f.mutex.Lock()
			f.unreachable[c.Server.ID] = true
			f.mutex.Unlock()
			body := io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), silentUntil{ctx})
			return &dispatch.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(body)}, nil
		}
		for n := range 3 {
			r := f.request(route.KindStreaming)
			r.Model, r.SharedParts = "m", []poplarwinch.PromptPartID{crashingPart}
			r.Fingerprint = quarantine.FingerprintOf("c", "/x/", fmt.Append(nil, n))
			r.Route.MaxAttempts = 3
			f.run(t.Context(), r)
			time.Sleep(2 * time.Second)
			f.fleet.Apply([]fleet.Server{{ID: poplarwinch.UpstreamID(fmt.Sprint("n", n)), Address: "n:80", Domain: "north", Service: "pool", Slots: 16}})
		}
		suspects := quarantine.NewPromptSuspects(quarantine.Fingerprint{}, []poplarwinch.PromptPartID{crashingPart})
		if r := f.suspects.Rule(suspects); !r.Blocked || r.Part != 1 {
			t.Errorf("the part is not blocked after %d crashes", len(f.calls))
		}
		f.fleet.Apply(nil)
	})
}

// silentUntil is a reader that returns nothing until its context ends.
type silentUntil struct{ ctx context.Context }

// Read waits for the end of the context.
func (s silentUntil) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// Guards against sound requests that are rejected because they share a part with the ones that crash servers, behind the part at fault, and
// come too rarely for an answer to clear it in time.
func TestRareSoundRequestsBesideACrashingPartBeforeTheirs(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		s := newCrashingServers(f, 12)
		var wait sync.WaitGroup
		var mutex sync.Mutex
		begun, sent, n := 0, 0, 0
		start := func(count bool, parts ...poplarwinch.PromptPartID) {
			n++
			r := s.prompt(n, parts...)
			wait.Go(func() {
				o := f.run(t.Context(), r)
				mutex.Lock()
				defer mutex.Unlock()
				if count && o.begun > 0 {
					begun++
				}
			})
		}
		for range 5 {
			start(false, "shared")
			time.Sleep(2 * time.Second)
		}
		for range 3 {
			start(false, crashingPart, "shared")
		}
		for second := range 50 {
			time.Sleep(time.Second)
			if second%6 == 5 {
				start(false, crashingPart, "shared")
			}
			if second%2 == 1 {
				sent++
				start(true, "shared")
			}
		}
		wait.Wait()
		if begun < sent*9/10 {
			t.Errorf("%d of %d sound requests began", begun, sent)
		}
		if n := s.sendsAfter(s.crashes[min(len(s.crashes), 5)-1] + learningTime); n > 3 {
			t.Errorf("%d attempts with the part 3 s after the fifth crash or the last one, %d crashes in all; want 3 at most", n, len(s.crashes))
		}
	})
}

// Guards against a block that never ends because the request that may test it has to wait for a server, and is rejected while it does.
func TestTrialThatWaitsForAServer(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.blame(crashingPart)
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return complete(http.StatusOK, "id: 1\ndata: x\n\n")
		}
		request := func() *dispatch.Request {
			r := f.request(route.KindStreaming)
			r.Model, r.SharedParts, r.Route.Target = "m", []poplarwinch.PromptPartID{crashingPart}, 8000
			return r
		}
		if o := f.run(t.Context(), request()); o.err == nil {
			t.Fatal("the part is not blocked")
		}
		time.Sleep(3 * time.Minute)
		var ends []func()
		for _, id := range []poplarwinch.UpstreamID{"e1", "e2", "e3", "e4"} {
			ends = append(ends, f.fill(id))
		}
		time.AfterFunc(120*time.Millisecond, func() {
			for _, end := range ends {
				end()
			}
		})
		if o := f.run(t.Context(), request()); o.err != nil {
			t.Errorf("the request that tests the block got %v", o.err)
		}
	})
}

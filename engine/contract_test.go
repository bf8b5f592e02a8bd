package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	blocks "github.com/poplarwinch/poplarwinch/completion"
	"github.com/poplarwinch/poplarwinch/emulator/answer"
	emulated "github.com/poplarwinch/poplarwinch/emulator/engine"
	"github.com/poplarwinch/poplarwinch/engine"
)

// start serves an emulated engine, which is fast unless opts say otherwise.
func start(t *testing.T, opts ...emulated.Option) (*emulated.Engine, string) {
	t.Helper()
	e := emulated.New(append([]emulated.Option{
		emulated.WithStep(1), emulated.WithPrefillRate(100_000_000),
		emulated.WithModels(emulated.Model{Name: "drafting", Version: "1"}),
	}, opts...)...)
	s := httptest.NewUnstartedServer(e)
	s.Config.ConnState = e.ConnState
	s.Start()
	t.Cleanup(func() {
		e.Close()
		s.CloseClientConnections()
		s.Close()
	})
	return e, s.Listener.Addr().String()
}

func deadline(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func completion(id, prompt string, tokens int) engine.Call {
	data, _ := json.Marshal(map[string]any{
		"model": "drafting", "prompt": prompt, "max_tokens": tokens, "stream": true,
		"stream_options": map[string]any{"include_usage": true},
	})
	return engine.Call{ID: engine.StreamID(id), Path: engine.PathCompletions, Body: data}
}

type chunk struct {
	Choices []struct {
		Text         string                         `json:"text"`
		Delta        struct{ Role, Content string } `json:"delta"`
		FinishReason string                         `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// collect reads a stream to its end and returns its text and chunks.
func collect(ctx context.Context, s *engine.Stream) (text string, chunks []chunk, err error) {
	defer s.Close()
	for {
		f, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return text, chunks, nil
		}
		if err != nil {
			return text, chunks, err
		}
		if f.Done || f.Waiting {
			continue
		}
		var c chunk
		if err := json.Unmarshal(f.Data, &c); err != nil {
			return text, chunks, err
		}
		chunks = append(chunks, c)
		for _, o := range c.Choices {
			text += o.Text + o.Delta.Content
		}
	}
}

func expect(prompt string, tokens int) string {
	return strings.Join(answer.Answer(prompt, tokens), "")
}

// If the text of a stream differed from the emulator's definition, every end-to-end check would be meaningless.
func TestOpenReturnsCompleteText(t *testing.T) {
	e, address := start(t)
	ctx, c := deadline(t), engine.New()
	s, err := c.Open(ctx, address, completion("a", "hello", 20))
	if err != nil {
		t.Fatal(err)
	}
	text, chunks, err := collect(ctx, s)
	if err != nil || text != expect("hello", 20) {
		t.Fatalf("got %q, %v", text, err)
	}
	if u := chunks[len(chunks)-1].Usage; u.CompletionTokens != 20 || u.PromptTokens != 2 {
		t.Fatalf("usage %+v", u)
	}
	if r := e.Record().Runs; len(r) != 1 || r[0].Completed == 0 || r[0].Stream != "a" {
		t.Fatalf("record %+v", r)
	}
}

// Frame faults must lead to typed errors and never to a different text; resuming the stream then completes the text.
func TestFrameFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults emulated.Faults
		reason engine.Reason // empty when the client corrects the fault
	}{
		{"duplicate", emulated.Faults{DuplicateFrames: 1}, ""},
		{"drop", emulated.Faults{DropFrames: 1}, engine.ReasonGap},
		{"reorder", emulated.Faults{ReorderFrames: 1}, engine.ReasonGap},
		{"foreign", emulated.Faults{ForeignFrames: 1}, engine.ReasonForeign},
		{"truncate", emulated.Faults{Truncate: 1}, engine.ReasonTruncated},
		{"break", emulated.Faults{BreakConnection: 1}, engine.ReasonTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, address := start(t)
			e.SetFaults(c.faults)
			ctx, client := deadline(t), engine.New()
			s, err := client.Open(ctx, address, completion("a", "prompt", 9))
			if err != nil {
				t.Fatal(err)
			}
			text, _, err := collect(ctx, s)
			if c.reason != "" {
				checkReason(t, err, c.reason)
				if s, err = client.Resume(ctx, address, "a", s.Last()); err != nil {
					t.Fatal(err)
				}
				var rest string
				rest, _, err = collect(ctx, s)
				text += rest
			}
			if err != nil || text != expect("prompt", 9) {
				t.Fatalf("got %q, %v", text, err)
			}
			if n := len(e.Record().Runs); n != 1 {
				t.Fatalf("prompt ran %d times", n)
			}
		})
	}
}

func checkReason(t *testing.T, err error, want engine.Reason) {
	t.Helper()
	var e *engine.StreamError
	if !errors.As(err, &e) || e.Reason != want {
		t.Fatalf("error %v, want reason %s", err, want)
	}
}

// A stream that was read to its end must return its connection to the pool; otherwise each prompt would cost a new one.
func TestEndedStreamsReuseTheirConnection(t *testing.T) {
	e, c := emulated.New(emulated.WithStep(1), emulated.WithModels(emulated.Model{Name: "drafting"})), engine.New()
	defer e.Close()
	var opened atomic.Int32
	s := httptest.NewUnstartedServer(e)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	defer c.Close()
	ctx := deadline(t)
	for i := range 5 {
		s, err := c.Open(ctx, s.Listener.Addr().String(), completion(strconv.Itoa(i), "p", 3))
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := collect(ctx, s); err != nil {
			t.Fatal(err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Fatalf("%d connections for 5 streams in sequence", n)
	}
}

// After a lost response the stream must be resumable, and the transport must not resend the prompt.
func TestDroppedReplyIsResumable(t *testing.T) {
	e, address := start(t)
	ctx, c := deadline(t), engine.New()
	// The first stream leaves a pooled connection, on which net/http may resend a request.
	s, err := c.Open(ctx, address, completion("first", "p", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := collect(ctx, s); err != nil {
		t.Fatal(err)
	}
	e.SetFaults(emulated.Faults{DropReply: 1})
	_, err = c.Open(ctx, address, completion("a", "p", 5))
	checkReason(t, err, engine.ReasonUnreachable)
	s, err = c.Resume(ctx, address, "a", 0)
	if err != nil {
		t.Fatal(err)
	}
	if text, _, err := collect(ctx, s); err != nil || text != expect("p", 5) {
		t.Fatalf("got %q, %v", text, err)
	}
	if n := len(e.Record().Runs); n != 2 {
		t.Fatalf("%d runs, want 2", n)
	}
}

// Rejections must be distinguished, since only some of them mean that the prompt did not run.
func TestRejections(t *testing.T) {
	e, address := start(t, emulated.WithMemory(10_000))
	ctx, c := deadline(t), engine.New()
	s, err := c.Open(ctx, address, completion("used", "p", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := collect(ctx, s); err != nil {
		t.Fatal(err)
	}
	var refused *engine.RefusedError
	e.SetFaults(emulated.Faults{Refuse: 1})
	if _, err := c.Open(ctx, address, completion("b", "p", 1)); !errors.As(err, &refused) || refused.Status != 503 {
		t.Fatalf("fault: %v", err)
	}
	if _, err := c.Open(ctx, address, completion("b", strings.Repeat("x", 50_000), 1)); !errors.As(err, &refused) || refused.Status != 507 {
		t.Fatalf("too long: %v", err)
	}
	_, err = c.Open(ctx, address, completion("used", "p", 1))
	checkReason(t, err, engine.ReasonDuplicateStream)
	_, err = c.Resume(ctx, address, "never", 0)
	checkReason(t, err, engine.ReasonUnknownStream)
	_, err = c.Open(ctx, address, engine.Call{ID: "c", Path: engine.PathCompletions, Body: []byte("{")})
	checkReason(t, err, engine.ReasonRejected)
	if n := len(e.Record().Runs); n != 1 {
		t.Fatalf("%d runs, want 1", n)
	}
}

// Chat requests must lead to the same text with plain content or content parts, with either name of the token limit, and
// with or without streaming.
func TestChat(t *testing.T) {
	_, address := start(t)
	ctx, c := deadline(t), engine.New()
	want := expect(answer.Prompt([]answer.Message{{Role: "user", Content: "ab"}}), 3)
	for i, body := range []string{
		`{"model":"drafting","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"ab"}]}`,
		`{"model":"drafting","stream":true,"max_completion_tokens":3,"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`,
	} {
		s, err := c.Open(ctx, address, engine.Call{ID: engine.StreamID(strconv.Itoa(i)), Path: engine.PathChatCompletions, Body: []byte(body)})
		if err != nil {
			t.Fatal(err)
		}
		text, chunks, err := collect(ctx, s)
		if err != nil || text != want || chunks[0].Choices[0].Delta.Role != "assistant" || chunks[len(chunks)-1].Choices[0].FinishReason != "length" {
			t.Fatalf("got %q, %+v, %v", text, chunks, err)
		}
	}
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.PathChatCompletions, strings.NewReader(`{"model":"drafting","max_tokens":3,"messages":[{"role":"user","content":"ab"}]}`))
	r.Header.Set("Request-Id", "whole")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var whole struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.NewDecoder(response.Body).Decode(&whole); err != nil || whole.Choices[0].Message.Content != want {
		t.Fatalf("got %+v, %v", whole, err)
	}
}

// Waiting comments must prevent a long prefill from being reported as a stall.
func TestWaitingCommentsPreventStall(t *testing.T) {
	_, address := start(t, emulated.WithPrefillRate(2_000), emulated.WithWaitingInterval(20))
	ctx, c := deadline(t), engine.New(engine.WithIdleTimeout(400))
	s, err := c.Open(ctx, address, completion("a", strings.Repeat("x", 8_000), 1))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	waiting := 0
	for {
		f, err := s.Next(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if !f.Waiting {
			break
		}
		waiting++
	}
	if waiting < 2 {
		t.Fatalf("%d waiting comments", waiting)
	}
}

// The end of the context must end a call of Next, and the stream must remain resumable.
func TestNextEndsWithContext(t *testing.T) {
	_, address := start(t, emulated.WithPrefillRate(1_000))
	ctx, c := deadline(t), engine.New()
	s, err := c.Open(ctx, address, completion("a", strings.Repeat("x", 40_000), 1))
	if err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = s.Next(short)
	checkReason(t, err, engine.ReasonCanceled)
	if s, err = c.Resume(ctx, address, "a", 0); err != nil {
		t.Fatal(err)
	}
	s.Close()
}

// A stalled connection for cache events looks the same as an idle one; events must continue on a new connection.
func TestCacheEventsSurviveStall(t *testing.T) {
	e, address := start(t)
	ctx, cancel := context.WithCancel(deadline(t))
	c := engine.New(engine.WithQuietPeriod(100))
	run := func(id string) {
		s, err := c.Open(ctx, address, completion(id, strings.Repeat(id, blocks.BlockBytes), 1))
		if err != nil {
			t.Error(err)
			return
		}
		if _, _, err := collect(ctx, s); err != nil {
			t.Error(err)
		}
	}
	run("1")
	var got []uint64
	err := c.CacheEvents(ctx, address, 0, func(ev engine.CacheEvent) {
		got = append(got, ev.Sequence)
		switch ev.Sequence {
		case 1:
			e.SetFaults(emulated.Faults{StallConnections: true})
			c.Close()
			run("2")
		case 2:
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) || !slices.Equal(got, []uint64{1, 2}) {
		t.Fatalf("events %v, %v", got, err)
	}
}

// A refused connection must be reported as not sent, so that callers can be told that the prompt did not run.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = engine.New().Open(deadline(t), address, completion("a", "p", 1))
	checkReason(t, err, engine.ReasonUnreachable)
	if e := new(engine.StreamError); !errors.As(err, &e) || e.Sent {
		t.Fatalf("%v is reported as sent", err)
	}
}

// A stalled connection must be reported as a stall after the idle timeout, and the stream must be resumable on a new
// connection.
func TestStalledConnectionResumes(t *testing.T) {
	e, address := start(t, emulated.WithStep(2))
	ctx, c := deadline(t), engine.New(engine.WithIdleTimeout(200))
	s, err := c.Open(ctx, address, completion("a", "p", 500))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(ctx); err != nil {
		t.Fatal(err)
	}
	e.SetFaults(emulated.Faults{StallConnections: true})
	first, _, err := collect(ctx, s)
	checkReason(t, err, engine.ReasonStalled)
	s, err = c.Resume(ctx, address, "a", s.Last())
	if err != nil {
		t.Fatal(err)
	}
	rest, _, err := collect(ctx, s)
	if want := expect("p", 500); err != nil || !strings.HasSuffix(want, first+rest) || len(want)-len(first+rest) > 8 {
		t.Fatalf("got %d of %d bytes, %v", len(first+rest), len(want), err)
	}
}

// Sending a prompt larger than the socket buffers on a stalled connection must not block until the request's deadline.
func TestStalledWrite(t *testing.T) {
	e, address := start(t, emulated.WithMemory(100_000_000))
	ctx, c := deadline(t), engine.New(engine.WithWriteTimeout(100), engine.WithHeaderTimeout(15_000))
	s, err := c.Open(ctx, address, completion("a", "p", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := collect(ctx, s); err != nil {
		t.Fatal(err)
	}
	e.SetFaults(emulated.Faults{StallConnections: true})
	large := strings.Repeat("x", 12<<20)
	_, err = c.Open(ctx, address, completion("b", large, 1))
	checkReason(t, err, engine.ReasonUnreachable)
	s, err = c.Open(ctx, address, completion("b", large, 1))
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
}

// A crash must end the stream and change the boot id, and the restarted engine must not know the stream.
func TestCrashAndRestart(t *testing.T) {
	e, address := start(t)
	ctx, c := deadline(t), engine.New()
	before, err := c.Health(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	e.SetFaults(emulated.Faults{CrashMarker: "poison"})
	s, err := c.Open(ctx, address, completion("a", "some poison here", 5))
	if err == nil {
		_, _, err = collect(ctx, s)
	}
	var failure *engine.StreamError
	if !errors.As(err, &failure) {
		t.Fatalf("error %v, want a *StreamError", err)
	}
	if _, err := c.Health(ctx, address); err == nil {
		t.Fatal("the crashed engine still responds")
	}
	e.Restart()
	after, err := c.Health(ctx, address)
	if err != nil || after.BootID == before.BootID {
		t.Fatalf("boot id %q after %q, %v", after.BootID, before.BootID, err)
	}
	_, err = c.Resume(ctx, address, "a", 0)
	checkReason(t, err, engine.ReasonUnknownStream)
	if r := e.Record().Runs; !r[0].Crashed {
		t.Fatalf("record %+v", r[0])
	}
}

// Cancelling a stream must free its memory, and a prompt that arrives after its cancellation must not run.
func TestCancelFreesMemory(t *testing.T) {
	_, address := start(t, emulated.WithStep(5))
	ctx, c := deadline(t), engine.New()
	s, err := c.Open(ctx, address, completion("a", "p", 1_000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(ctx); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := c.Cancel(ctx, address, "a"); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Cancel(ctx, address, "late"); err != nil {
		t.Fatal(err)
	}
	_, err = c.Open(ctx, address, completion("late", "p", 1))
	checkReason(t, err, engine.ReasonDuplicateStream)
	l, err := c.Load(ctx, address)
	if err != nil || l.UsedTokens != 0 || l.RunningRequests != 0 {
		t.Fatalf("load %+v, %v", l, err)
	}
}

// A repeated reservation must count once, be listed with its owner, and free all its memory on release.
func TestReservations(t *testing.T) {
	_, address := start(t, emulated.WithMemory(10_000))
	ctx, c := deadline(t), engine.New()
	r := engine.Reservation{ID: "r/1", Owner: "i1", Request: "q", Tokens: 6_000, Deadline: 5}
	for range 2 {
		if err := c.Reserve(ctx, address, r); err != nil {
			t.Fatal(err)
		}
	}
	var refused *engine.RefusedError
	if err := c.Reserve(ctx, address, engine.Reservation{ID: "r2", Tokens: 6_000}); !errors.As(err, &refused) || refused.Status != 507 {
		t.Fatalf("second reservation: %v", err)
	}
	if list, err := c.Reservations(ctx, address); err != nil || !slices.Equal(list, []engine.Reservation{r}) {
		t.Fatalf("list %+v, %v", list, err)
	}
	call := completion("a", strings.Repeat("x", 20_000), 2)
	call.Reservation = "r/1"
	s, err := c.Open(ctx, address, call)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := collect(ctx, s); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := c.Release(ctx, address, "r/1"); err != nil {
			t.Fatal(err)
		}
	}
	if l, err := c.Load(ctx, address); err != nil || l.UsedTokens != 0 {
		t.Fatalf("load %+v, %v", l, err)
	}
}

// After a lost response the reservation may exist; the error must say so, and a retry must not reserve twice.
func TestLostReservationReply(t *testing.T) {
	e, address := start(t, emulated.WithMemory(10_000))
	ctx, c := deadline(t), engine.New()
	e.SetFaults(emulated.Faults{DropControlReply: 1})
	r := engine.Reservation{ID: "r", Owner: "i", Tokens: 6_000}
	var failure *engine.CallError
	if err := c.Reserve(ctx, address, r); !errors.As(err, &failure) || !failure.Sent {
		t.Fatalf("error %v", err)
	}
	if err := c.Reserve(ctx, address, r); err != nil {
		t.Fatal(err)
	}
	if l, err := c.Load(ctx, address); err != nil || l.UsedTokens != 6_000 {
		t.Fatalf("load %+v, %v", l, err)
	}
}

// A prompt that exceeds one engine's memory must run only with memory reserved on others.
func TestGroup(t *testing.T) {
	_, first := start(t, emulated.WithMemory(10_000))
	_, second := start(t, emulated.WithMemory(10_000))
	ctx, c := deadline(t), engine.New()
	prompt := strings.Repeat("x", 60_000)
	call := completion("a", prompt, 2)
	call.Group = []engine.Member{{Address: second, Reservation: "g"}}
	var refused *engine.RefusedError
	if _, err := c.Open(ctx, first, call); !errors.As(err, &refused) || refused.Status != 507 {
		t.Fatalf("without the reservation: %v", err)
	}
	if err := c.Reserve(ctx, second, engine.Reservation{ID: "g", Owner: "i", Tokens: 8_000}); err != nil {
		t.Fatal(err)
	}
	s, err := c.Open(ctx, first, call)
	if err != nil {
		t.Fatal(err)
	}
	if text, _, err := collect(ctx, s); err != nil || text != expect(prompt, 2) {
		t.Fatalf("got %q, %v", text, err)
	}
}

// An export must hold memory until it is deleted, and its import must make the prefix a cache hit on the other engine.
func TestExportAndImport(t *testing.T) {
	_, first := start(t)
	_, second := start(t)
	ctx, c := deadline(t), engine.New()
	prompt := strings.Repeat("y", 3*blocks.BlockBytes+10)
	run := func(address, id string) []chunk {
		s, err := c.Open(ctx, address, completion(id, prompt, 1))
		if err != nil {
			t.Fatal(err)
		}
		_, chunks, err := collect(ctx, s)
		if err != nil {
			t.Fatal(err)
		}
		return chunks
	}
	run(first, "a")
	if err := c.Export(ctx, first, engine.Export{ID: "x", Stream: "nope"}); !errors.Is(err, engine.ErrUnknown) {
		t.Fatalf("unknown stream: %v", err)
	}
	if err := c.Export(ctx, first, engine.Export{ID: "x", Stream: "a", Owner: "i"}); err != nil {
		t.Fatal(err)
	}
	if l, _ := c.Load(ctx, first); l.UsedTokens != 3*1024 {
		t.Fatalf("the export holds %d tokens", l.UsedTokens)
	}
	data, err := c.ExportData(ctx, first, "x")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.DeleteExport(ctx, first, "x"); err != nil {
		t.Fatal(err)
	}
	if list, err := c.Exports(ctx, first); err != nil || len(list) != 0 {
		t.Fatalf("exports %v, %v", list, err)
	}
	if err := c.Import(ctx, second, data); err != nil {
		t.Fatal(err)
	}
	chunks := run(second, "b")
	if cached := chunks[len(chunks)-1].Usage.Details.Cached; cached != 3*1024 {
		t.Fatalf("%d cached tokens", cached)
	}
}

// Cache events must contain the block hashes that a router computes from the same prompt, and must report blocks evicted
// for lack of memory.
func TestCacheEvents(t *testing.T) {
	_, address := start(t, emulated.WithMemory(4_000))
	ctx, c := deadline(t), engine.New()
	first, second := strings.Repeat("1", 2*blocks.BlockBytes), strings.Repeat("2", 3*blocks.BlockBytes)
	for i, prompt := range []string{first, second} {
		s, err := c.Open(ctx, address, completion(strconv.Itoa(i), prompt, 1))
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := collect(ctx, s); err != nil {
			t.Fatal(err)
		}
	}
	cached := map[engine.Block]bool{}
	ctx, cancel := context.WithCancel(ctx)
	want := blocks.Blocks("drafting", "", []byte(second))
	err := c.CacheEvents(ctx, address, 0, func(ev engine.CacheEvent) {
		for _, b := range ev.Blocks {
			cached[b] = ev.Kind == engine.CacheStored
		}
		if cached[engine.Block(want[2])] {
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	for _, h := range blocks.Blocks("drafting", "", []byte(first))[1:] {
		if cached[engine.Block(h)] {
			t.Fatal("an evicted block was not reported as removed")
		}
	}
}

// An engine that checks fencing tokens must reject orders of a planner that has lost its lease, and every engine must
// reject expired orders.
func TestOrders(t *testing.T) {
	models := []engine.Model{{Name: "tagging", Version: "2", Adapters: []engine.Adapter{{Name: "letter", Version: "1"}}}}
	now := clock.System().Now()
	for _, c := range []struct {
		name    string
		options []emulated.Option
		faults  emulated.Faults
		order   engine.Order
		stale   bool
	}{
		{"newer", []emulated.Option{emulated.WithFencingChecks()}, emulated.Faults{}, engine.Order{FencingToken: 8, ValidUntil: now + clock.Minute}, false},
		{"stale", []emulated.Option{emulated.WithFencingChecks()}, emulated.Faults{}, engine.Order{FencingToken: 6, ValidUntil: now + clock.Minute}, true},
		{"stale but ignored", []emulated.Option{emulated.WithFencingChecks()}, emulated.Faults{IgnoreFencing: true}, engine.Order{FencingToken: 6, ValidUntil: now + clock.Minute}, false},
		{"unchecked", nil, emulated.Faults{}, engine.Order{FencingToken: 6, ValidUntil: now + clock.Minute}, false},
		{"expired", nil, emulated.Faults{}, engine.Order{FencingToken: 9, ValidUntil: now - clock.Minute}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, address := start(t, c.options...)
			ctx, client := deadline(t), engine.New()
			if err := client.Order(ctx, address, engine.Order{FencingToken: 7, ValidUntil: now + clock.Minute, Role: "prefill"}); err != nil {
				t.Fatal(err)
			}
			e.SetFaults(c.faults)
			c.order.Models = models
			if err := client.Order(ctx, address, c.order); errors.Is(err, engine.ErrStaleOrder) != c.stale || (err == nil) == c.stale {
				t.Fatalf("error %v, stale %t", err, c.stale)
			}
			h, err := client.Health(ctx, address)
			if err != nil || (len(h.Models) == 1 && h.Models[0].Name == "tagging") == c.stale || h.Role != "prefill" {
				t.Fatalf("health %+v, %v", h, err)
			}
		})
	}
}

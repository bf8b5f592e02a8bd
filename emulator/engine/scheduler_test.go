package engine

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// A fixed seed makes failures reproducible; the flags of go test override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// newManualEngine returns an engine with a manual clock whose scheduler steps are run by the test.
func newManualEngine(opts ...Option) (*Engine, *clock.Manual) {
	m := clock.NewManual(1_000_000)
	opts = append([]Option{
		WithClock(m.Clock()), WithStep(10), WithPrefillRate(100_000), WithModels(Model{Name: "drafting", Version: "1"}),
	}, opts...)
	return newEngine(newConfig(opts), func() {}, nil), m
}

// submit submits a prompt of the given number of tokens and returns the status of its rejection, 0 if accepted.
func submit(e *Engine, id string, priority, tokens, maxTokens int, text, reservation string) int {
	data, _ := json.Marshal(map[string]any{
		"model": "drafting", "prompt": strings.Repeat(text, 4*tokens)[:4*tokens], "max_tokens": maxTokens, "stream": true,
	})
	h := http.Header{"Request-Id": {id}, "Priority": {fmt.Sprint(priority)}}
	s, err := e.newSequence(h, data, false)
	if err != nil {
		panic(err)
	}
	_, status, _ := e.accept(s, reservation)
	return status
}

func request(e *Engine, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// A long prefill must not delay short prompts with a lower priority number, nor prompts that are decoding.
func TestPrioritiesPreemptPrefill(t *testing.T) {
	e, _ := newManualEngine()
	submit(e, "decoding", 2, 10, 50, "d", "")
	e.step()
	submit(e, "long", 2, 10_000, 1, "l", "")
	e.step() // the long prompt takes the rest of this step's 1,000 tokens
	submit(e, "short", 0, 500, 1, "s", "")
	long, decoding := e.boot.sequences["long"], e.boot.sequences["decoding"]
	left, generatedTokens := long.prefillRemaining, decoding.generatedTokens
	e.step()
	if spent := left - long.prefillRemaining; spent != 499 {
		t.Fatalf("the long prompt got %d tokens of the step, want the 499 that decode and the short prompt left", spent)
	}
	e.step()
	if p := e.boot.sequences["short"].phase; p != phaseDone {
		t.Fatalf("the short prompt is in phase %s", p)
	}
	if decoding.generatedTokens != generatedTokens+2 {
		t.Fatalf("decoding got %d tokens in 2 steps", decoding.generatedTokens-generatedTokens)
	}
}

// A prompt that waits for memory must not be starved by smaller prompts that arrive later.
func TestMemoryIsGrantedInOrder(t *testing.T) {
	e, _ := newManualEngine(WithMemory(1_000))
	submit(e, "a", 0, 500, 3, "a", "")
	e.step()
	submit(e, "large", 0, 900, 1, "b", "")
	submit(e, "small", 0, 10, 1, "c", "")
	for range 12 {
		e.step()
	}
	large, small := e.record.Runs[1], e.record.Runs[2]
	if large.Completed == 0 || small.Completed == 0 || small.Started < large.Started {
		t.Fatalf("large prompt %+v, small prompt %+v; want both completed, the large one started first", large, small)
	}
}

// Blocks must be evicted in LRU order, the end of a prefix first. Otherwise slight memory pressure removes all cache
// hits.
func TestEvictionOrder(t *testing.T) {
	m := newKVMemory(40, 10)
	blocks := []*block{m.insert(1, "m"), m.insert(2, "m"), m.insert(3, "m")}
	m.touch(blocks)
	m.insert(4, "m")
	m.unpin(m.pin([]uint64{1, 2, 3}))
	var got []uint64
	for range 4 {
		m.allocate(10)
		got = append(got, m.evicted[len(m.evicted)-1].hash)
	}
	if want := []uint64{4, 3, 2, 1}; !slices.Equal(got, want) {
		t.Fatalf("evicted %v, want %v", got, want)
	}
}

// A prompt past its deadline must stop running and free its memory.
func TestDeadline(t *testing.T) {
	e, m := newManualEngine()
	s, err := e.newSequence(http.Header{"Request-Id": {"a"}, "Deadline-Ms": {"30"}}, []byte(`{"model":"drafting","prompt":"p","max_tokens":99}`), false)
	if err != nil {
		t.Fatal(err)
	}
	e.accept(s, "")
	e.step()
	m.Advance(31)
	if e.step() || s.phase != phaseFailed || e.boot.kvMemory.used() != 0 {
		t.Fatalf("phase %s, %d tokens in use; want a failed prompt and no tokens in use", s.phase, e.boot.kvMemory.used())
	}
}

// Tests of routing rely on load reports that lag; a report that is fresh by mistake would hide faults of routing.
func TestLoadReportLags(t *testing.T) {
	e, m := newManualEngine()
	e.SetFaults(Faults{LoadLag: 100})
	m.Advance(200)
	submit(e, "a", 0, 5_000, 1, "a", "")
	for _, c := range []struct {
		advance clock.Millis
		want    string
	}{{99, "engine_waiting_prefill_tokens 0\n"}, {1, "engine_waiting_prefill_tokens 5000\n"}} {
		m.Advance(c.advance)
		if got := request(e, "GET", "/metrics", "").Body.String(); !strings.Contains(got, c.want) || !strings.Contains(got, "engine_report_age_ms 100\n") {
			t.Fatalf("after a further %d ms, want %q in:\n%s", c.advance, c.want, got)
		}
	}
}

// Lost events must leave a gap in the sequence numbers, and delayed events must not appear early.
func TestEventLossAndDelay(t *testing.T) {
	e, m := newManualEngine()
	b := e.boot
	store := func(h uint64) {
		b.events.add(eventStored, "drafting", []uint64{h})
		b.publish(e, m.Now())
	}
	store(1)
	e.SetFaults(Faults{EventLoss: 1})
	store(2)
	e.SetFaults(Faults{EventDelay: 50})
	store(3)
	for _, c := range []struct {
		advance clock.Millis
		want    []uint64
	}{{0, []uint64{1}}, {49, []uint64{1}}, {1, []uint64{1, 3}}} {
		m.Advance(c.advance)
		due, _, _ := b.events.after(0, m.Now())
		var got []uint64
		for _, ev := range due {
			got = append(got, ev.Sequence)
		}
		if !slices.Equal(got, c.want) {
			t.Fatalf("after a further %d ms: events %v, want %v", c.advance, got, c.want)
		}
	}
}

// Whatever the order of prompts, cancellations, reservations and exports, memory must stay within its capacity, and
// none must stay in use once all prompts have ended and all reservations and exports are deleted. Tests that check the
// product for leaked memory rely on this.
func TestMemoryAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, m := newManualEngine(WithMemory(8_000), WithMaxRunning(4))
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		number := 0
		var streams []string
		check := func() {
			x := e.boot.kvMemory
			if x.allocated < 0 || x.allocated+x.cached() > x.capacity || x.used() > x.capacity {
				t.Fatalf("%d tokens allocated, %d cached, %d blocks pinned", x.allocated, x.cached(), x.pinnedBlocks)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				number++
				id := fmt.Sprint(number)
				reservation := ""
				if rapid.Bool().Draw(t, "reserved") {
					reservation = ids.Draw(t, "reservation")
				}
				if submit(e, id, rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(1, 9_000).Draw(t, "tokens"), rapid.IntRange(1, 5).Draw(t, "max"), ids.Draw(t, "text"), reservation) == 0 {
					streams = append(streams, id)
				}
			},
			"step": func(*rapid.T) { m.Advance(1); e.step() },
			"cancel": func(t *rapid.T) {
				if len(streams) > 0 {
					request(e, "DELETE", "/v1/streams/"+rapid.SampledFrom(streams).Draw(t, "stream"), "")
				}
			},
			"reserve": func(t *rapid.T) {
				request(e, "PUT", "/kv/reservations/"+ids.Draw(t, "id"), fmt.Sprintf(`{"tokens":%d}`, rapid.IntRange(1, 6_000).Draw(t, "tokens")))
			},
			"release": func(t *rapid.T) { request(e, "DELETE", "/kv/reservations/"+ids.Draw(t, "id"), "") },
			"export": func(t *rapid.T) {
				if len(streams) > 0 {
					request(e, "POST", "/kv/exports", fmt.Sprintf(`{"id":%q,"stream":%q}`, ids.Draw(t, "id"), rapid.SampledFrom(streams).Draw(t, "stream")))
				}
			},
			"delete export": func(t *rapid.T) { request(e, "DELETE", "/kv/exports/"+ids.Draw(t, "id"), "") },
			"import": func(t *rapid.T) {
				request(e, "POST", "/kv/imports", fmt.Sprintf(`{"model":"drafting","blocks":["%016x"]}`, rapid.Uint64Range(1, 20).Draw(t, "block")))
			},
			"": func(*rapid.T) { check() },
		})
		for _, id := range []string{"a", "b", "c", "d"} {
			request(e, "DELETE", "/kv/reservations/"+id, "")
			request(e, "DELETE", "/kv/exports/"+id, "")
		}
		for steps := 0; e.step(); steps++ {
			m.Advance(1)
			if steps > 2_000 {
				t.Fatal("prompts still wait after all reservations and exports were deleted")
			}
		}
		check()
		if used := e.boot.kvMemory.used(); used != poplarwinch.Tokens(0) {
			t.Fatalf("%d tokens leaked", used)
		}
	})
}

package assignment_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// pool has the figures of a current deployment's engines.
func pool() *route.Pool {
	return &route.Pool{
		Slots: 16, MemoryTokens: 405_000, StepMillis: 1.31, SequenceMillis: 0.000917, ContextMillis: 0.00213,
		ReadRate: 154, PairMillis: 0.162, ChunkTokens: 2048, Stride: 34,
	}
}

// engines returns n idle engines, spread over the failure domains a, b and c.
func engines(n int) []fleet.Candidate {
	list := make([]fleet.Candidate, n)
	for i := range list {
		list[i] = fleet.Candidate{
			Server: fleet.Server{
				ID: poplarwinch.UpstreamID(string(rune('A' + i))), Slots: 16, Service: "pool",
				Domain: poplarwinch.FailureDomain(string(rune('a' + i%3))),
			},
			Rank: i / 3,
		}
	}
	return list
}

// shortPrompt, longPrompt and hugePrompt are fresh prompts.
func shortPrompt() *assignment.Prompt {
	return &assignment.Prompt{
		Tokens: 5000, Answer: 1300, Target: 300, FullTarget: 300, Left: 10_000, Patience: 2000, FullPatience: 2000, MaxPause: 250, Domain: "a",
	}
}

func longPrompt() *assignment.Prompt {
	return &assignment.Prompt{
		Tokens: 182_000, Answer: 700, Target: 4000, FullTarget: 4000, Left: 15_000, Patience: 15_000, FullPatience: 15_000, MaxPause: 1000, Domain: "a",
	}
}

func hugePrompt() *assignment.Prompt {
	p := longPrompt()
	p.Tokens = 600_000
	return p
}

// busy is an engine with short prompts that decode.
func busy(requests int) fleet.Load {
	return fleet.Load{Requests: requests, Decoding: requests, MinPause: 250, Memory: poplarwinch.Tokens(requests) * 6000}
}

// reading is an engine that reads a long prompt for a time.
func reading(span, due clock.Millis) fleet.Load {
	return fleet.Load{Readers: 1, Read: span, Due: due}
}

func run(t *testing.T, list []fleet.Candidate, p *assignment.Prompt) assignment.Plan {
	t.Helper()
	plan, verdict := assignment.Choose(pool(), list, p)
	if verdict != assignment.VerdictRun {
		t.Fatalf("got verdict %s, want run", verdict)
	}
	return plan
}

// Guards against short prompts that spread over all engines, so that none is left for long ones.
func TestShortPromptsArePacked(t *testing.T) {
	list := engines(6)
	list[3].Load = busy(5)
	list[4].Load = busy(2)
	if plan := run(t, list, shortPrompt()); plan.First != "D" || plan.Reason != assignment.ReasonPacked {
		t.Errorf("got %+v, want the engine with the most short prompts", plan)
	}
	list[3].Load = busy(13)
	if plan := run(t, list, shortPrompt()); plan.First != "E" {
		t.Errorf("got %+v, want the next engine when the first is nearly full", plan)
	}
}

// Guards against short prompts that wait behind a long one, and against streams that pause while it is read.
func TestShortPromptsAvoidLongReading(t *testing.T) {
	list := engines(3)
	list[0].Load, list[1].Load = reading(900, 3000), reading(900, 3000)
	if plan := run(t, list, shortPrompt()); plan.First != "C" {
		t.Errorf("got %+v, want the engine that reads nothing", plan)
	}
	list[2].Load = reading(900, 3000)
	if _, verdict := assignment.Choose(pool(), list, shortPrompt()); verdict != assignment.VerdictWait {
		t.Errorf("got verdict %s, want wait", verdict)
	}
}

// Guards against a long prompt that one engine reads for four seconds while others are free.
func TestLongPromptsAreSplit(t *testing.T) {
	plan := run(t, engines(14), longPrompt())
	if len(plan.Helpers) < 10 || plan.FirstEvent > 500 {
		t.Errorf("got %+v, want more than ten helpers and an event within 0.5 s", plan)
	}
}

// Guards against parts of long prompts on engines whose streams they would pause.
func TestGroupsSpareStreams(t *testing.T) {
	list := engines(14)
	for i := range 6 {
		list[i].Load = busy(8)
	}
	plan := run(t, list, longPrompt())
	for i := range 6 {
		if id := list[i].ID; plan.First == id || slices.Contains(plan.Helpers, id) {
			t.Errorf("engine %s with short streams reads a part of %d ms", id, plan.Read)
		}
	}
}

// Guards against starvation: engines read the newest part first, so a new group must leave older ones in time.
func TestGroupsLeaveOlderOnesInTime(t *testing.T) {
	list := engines(4)
	for i := range list {
		list[i].Load = reading(700, 1300)
	}
	if plan, verdict := assignment.Choose(pool(), list, longPrompt()); verdict != assignment.VerdictWait {
		t.Errorf("got %s, %+v; the older prompt would miss its time", verdict, plan)
	}
	for i := range list {
		list[i].Load = reading(700, 3900)
	}
	run(t, list, longPrompt())
}

// Guards against prompts beyond one engine's memory that are sent to one engine.
func TestHugePromptsShareMemory(t *testing.T) {
	if plan := run(t, engines(14), hugePrompt()); !plan.Shared {
		t.Errorf("got %+v, want shared memory", plan)
	}
	if plan := run(t, engines(14), longPrompt()); plan.Shared {
		t.Errorf("got %+v, want no reservation for a prompt that one engine holds", plan)
	}
}

// Guards against prompts that are held until their deadline although nothing can serve them.
func TestHopelessPromptsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		engines int
		change  func(p *assignment.Prompt)
	}{
		"more memory than there is": {1, func(*assignment.Prompt) {}},
		"too little time":           {14, func(p *assignment.Prompt) { p.Left = 1000 }},
	} {
		p := hugePrompt()
		c.change(p)
		if _, verdict := assignment.Choose(pool(), engines(c.engines), p); verdict != assignment.VerdictReject {
			t.Errorf("%s: got verdict %s, want reject", name, verdict)
		}
	}
}

// Guards against late prompts that make others late: they leave crowded engines alone, and are turned away when hardly a slot
// is free, so that fresh ones come in time at the crest.
func TestLatePromptsYield(t *testing.T) {
	list := engines(3)
	late := func(requests int) (assignment.Plan, assignment.Verdict) {
		for i := range list {
			list[i].Load = busy(requests)
		}
		p := shortPrompt()
		p.Target, p.Patience = -100, 1600
		return assignment.Choose(pool(), list, p)
	}
	for requests, want := range map[int]assignment.Verdict{
		8: assignment.VerdictRun, 12: assignment.VerdictWait, 13: assignment.VerdictYield,
	} {
		if plan, verdict := late(requests); verdict != want || verdict == assignment.VerdictRun && plan.Reason != assignment.ReasonLate {
			t.Errorf("%d requests on each engine: got %s, %+v, want %s", requests, verdict, plan, want)
		}
	}
	if plan := run(t, list, shortPrompt()); plan.Reason == assignment.ReasonLate {
		t.Errorf("a fresh prompt got %+v", plan)
	}
}

// Guards against prompts that are held until their callers give up: they are turned away while callers can come back.
func TestWaitEnds(t *testing.T) {
	list := engines(3)
	for i := range list {
		list[i].Load = reading(3000, 3100)
	}
	p := longPrompt()
	p.Target, p.Patience, p.Left = -2000, 9000, 9000
	if _, verdict := assignment.Choose(pool(), list, p); verdict != assignment.VerdictWait {
		t.Errorf("got %s, want wait", verdict)
	}
	p.Target, p.Patience, p.Left = -4000, 7000, 7000
	if _, verdict := assignment.Choose(pool(), list, p); verdict != assignment.VerdictYield {
		t.Errorf("got %s, want yield", verdict)
	}
}

// Guards against plans with engines of distant failure domains, whose work is known late, while the own domain has enough.
func TestLargeDomainsPlanForThemselves(t *testing.T) {
	list := engines(45)
	plan := run(t, list, longPrompt())
	for i := range list {
		if e := &list[i]; e.Domain != "a" && (plan.First == e.ID || slices.Contains(plan.Helpers, e.ID)) {
			t.Errorf("engine %s of failure domain %s reads a part", e.ID, e.Domain)
		}
	}
}

// Guards against long prompts that find no room at home while other failure domains have some, and against plans with engines
// whose work is not known.
func TestLongPromptsGoElsewhere(t *testing.T) {
	list := engines(45)
	for i := range list {
		if e := &list[i]; e.Domain == "a" {
			e.Load, e.Known = reading(3000, 3050), true
		}
	}
	p := longPrompt()
	p.Target = 1200
	if _, verdict := assignment.Choose(pool(), list, p); verdict != assignment.VerdictWait {
		t.Errorf("got %s, want wait while nothing is known of other failure domains", verdict)
	}
	for i := range list {
		list[i].Known = list[i].Known || list[i].Domain == "b"
	}
	plan := run(t, list, p)
	for i := range list {
		if e := &list[i]; e.Domain != "b" && (plan.First == e.ID || slices.Contains(plan.Helpers, e.ID)) {
			t.Errorf("engine %s of failure domain %s reads a part", e.ID, e.Domain)
		}
	}
	p.Target = p.FullTarget
	if _, verdict := assignment.Choose(pool(), list, p); verdict != assignment.VerdictWait {
		t.Errorf("got %s, want wait while the prompt may still find room at home", verdict)
	}
}

// Guards against failed servers that get work, and against a service without any when all have failed.
func TestAvoidedServers(t *testing.T) {
	list := engines(3)
	list[0].Avoid = true
	for range 3 {
		if plan := assignment.Server(list, "a"); plan.First == "A" {
			t.Error("a server that failed was chosen")
		}
	}
	for i := range list {
		list[i].Avoid = true
	}
	if plan := assignment.Server(list, "a"); plan.First != "A" {
		t.Errorf("got %+v, want the near one when all have failed", plan)
	}
}

// Guards against malformed plans: whatever the load, a plan names each engine once, stays within slots and memory, and
// promises no first event after the deadline.
func TestPlansAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(1, 20).Draw(t, "engines"))
		for i := range list {
			requests := rapid.IntRange(0, 17).Draw(t, "requests")
			list[i].Load = fleet.Load{
				Requests: requests, Decoding: rapid.IntRange(0, requests).Draw(t, "decoding"),
				Readers: rapid.IntRange(0, 3).Draw(t, "readers"), Read: clock.Millis(rapid.IntRange(0, 4000).Draw(t, "read")),
				Due:      clock.Millis(rapid.IntRange(-500, 4000).Draw(t, "due")),
				MinPause: rapid.SampledFrom([]clock.Millis{0, 250, 600, 1000}).Draw(t, "pause"),
				Memory:   poplarwinch.Tokens(rapid.IntRange(0, 500_000).Draw(t, "memory")),
			}
			list[i].Avoid = rapid.Bool().Draw(t, "avoid")
		}
		p := longPrompt()
		p.Tokens = poplarwinch.Tokens(rapid.IntRange(1, 900_000).Draw(t, "tokens"))
		p.Target = clock.Millis(rapid.IntRange(-3000, 4000).Draw(t, "target"))
		p.Left = clock.Millis(rapid.IntRange(1, 15_000).Draw(t, "left"))
		p.Patience = clock.Millis(rapid.IntRange(1, int(p.Left)).Draw(t, "patience"))
		p.MaxPause = rapid.SampledFrom([]clock.Millis{0, 250, 600, 1000}).Draw(t, "max pause")
		plan, verdict := assignment.Choose(pool(), list, p)
		if verdict == assignment.VerdictRun {
			checkPlan(t, list, p, &plan)
		}
	})
}

func checkPlan(t *rapid.T, list []fleet.Candidate, p *assignment.Prompt, plan *assignment.Plan) {
	used := append([]poplarwinch.UpstreamID{plan.First}, plan.Helpers...)
	slices.Sort(used)
	if len(slices.Compact(slices.Clone(used))) != len(used) || len(plan.Helpers) > 16 {
		t.Fatalf("engines %v: one is named twice or there are too many", used)
	}
	if plan.FirstEvent > p.Left {
		t.Fatalf("first event after %d ms, deadline after %d ms", plan.FirstEvent, p.Left)
	}
	for i := range list {
		e := &list[i]
		if e.ID != plan.First || plan.Shared {
			continue
		}
		if e.Load.Requests >= pool().Slots || e.Load.Memory+p.Tokens+p.Answer > pool().MemoryTokens {
			t.Fatalf("engine %+v has no room for %d tokens", e.Load, p.Tokens)
		}
	}
}

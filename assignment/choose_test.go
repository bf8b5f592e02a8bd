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

// pool returns the parameters of the engines of a deployment in use.
func pool() *route.Pool {
	return &route.Pool{
		Slots: 16, MemoryTokens: 405_000, StepMillis: 1.31, SequenceMillis: 0.000917, ContextMillis: 0.00213,
		PrefillRate: 154, PairMillis: 0.162, ChunkTokens: 2048, Stride: 34,
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

// shortPrompt returns a short prompt that has just arrived.
func shortPrompt() *assignment.Prompt {
	return &assignment.Prompt{
		Tokens: 5000, AnswerTokens: 1300, Target: 300, FullTarget: 300, TimeLeft: 10_000, CallerTimeout: 2000, FullCallerTimeout: 2000, MaxPause: 250, Domain: "a",
	}
}

// longPrompt returns a long prompt that has just arrived.
func longPrompt() *assignment.Prompt {
	return &assignment.Prompt{
		Tokens: 182_000, AnswerTokens: 700, Target: 4000, FullTarget: 4000, TimeLeft: 15_000, CallerTimeout: 15_000, FullCallerTimeout: 15_000, MaxPause: 1000, Domain: "a",
	}
}

// hugePrompt returns a prompt that exceeds the memory of one engine.
func hugePrompt() *assignment.Prompt {
	p := longPrompt()
	p.Tokens = 600_000
	return p
}

// decodingLoad returns the load of an engine that decodes short prompts.
func decodingLoad(requests int) fleet.Load {
	return fleet.Load{Requests: requests, Decoding: requests, MinPause: 250, MaxPause: 250, Memory: poplarwinch.Tokens(requests) * 6000}
}

// prefillLoad returns the load of an engine that still needs the time prefill for a long prompt.
func prefillLoad(prefill, due clock.Millis) fleet.Load {
	return fleet.Load{Prefilling: 1, Prefill: prefill, Due: due}
}

func run(t *testing.T, list []fleet.Candidate, p *assignment.Prompt) assignment.Plan {
	t.Helper()
	plan, verdict := assignment.Choose(pool(), list, p)
	if verdict != assignment.VerdictRun {
		t.Fatalf("got verdict %s, want run", verdict)
	}
	return plan
}

// Guards against short prompts that spread over all engines and leave none for long ones.
func TestShortPromptsArePacked(t *testing.T) {
	list := engines(6)
	list[3].Load = decodingLoad(5)
	list[4].Load = decodingLoad(2)
	if plan := run(t, list, shortPrompt()); plan.First != "D" || plan.Reason != assignment.ReasonPacked {
		t.Errorf("got %+v, want the engine with the most short prompts", plan)
	}
	list[3].Load = decodingLoad(13)
	if plan := run(t, list, shortPrompt()); plan.First != "E" {
		t.Errorf("got %+v, want the next engine when the first is nearly full", plan)
	}
}

// Guards against short prompts that wait behind a long prefill, and against streams that pause for it.
func TestShortPromptsAvoidLongPrefill(t *testing.T) {
	list := engines(3)
	list[0].Load, list[1].Load = prefillLoad(900, 3000), prefillLoad(900, 3000)
	if plan := run(t, list, shortPrompt()); plan.First != "C" {
		t.Errorf("got %+v, want the engine without prefill", plan)
	}
	list[2].Load = prefillLoad(900, 3000)
	if _, verdict := assignment.Choose(pool(), list, shortPrompt()); verdict != assignment.VerdictWait {
		t.Errorf("got verdict %s, want wait", verdict)
	}
}

// Guards against a long prompt that one engine prefills for four seconds while others are idle.
func TestLongPromptsAreSplit(t *testing.T) {
	plan := run(t, engines(14), longPrompt())
	if len(plan.Helpers) < 10 || plan.FirstEvent > 500 {
		t.Errorf("got %+v, want more than ten helpers and an event within 0.5 s", plan)
	}
}

// Guards against parts of long prompts on engines where they would pause streams too long.
func TestGroupsAvoidStreams(t *testing.T) {
	list := engines(14)
	for i := range 6 {
		list[i].Load = decodingLoad(8)
	}
	plan := run(t, list, longPrompt())
	for i := range 6 {
		if id := list[i].ID; plan.First == id || slices.Contains(plan.Helpers, id) {
			t.Errorf("engine %s with short streams prefills a part of %d ms", id, plan.Prefill)
		}
	}
}

// Guards against short streams that give way to a long prompt for so long that they are continued elsewhere, which reads their
// prompts again: a part on their engine is bounded although the long prompt misses its target.
func TestPausedStreamsAreContinuedSoon(t *testing.T) {
	list := engines(3)
	for i := range list {
		list[i].Load = decodingLoad(1)
	}
	p := longPrompt()
	plan, verdict := assignment.Choose(pool(), list, p)
	if verdict == assignment.VerdictRun && plan.Prefill > 1000 {
		t.Errorf("got %+v, want no part of more than 1 s on an engine with a short stream", plan)
	}
	p.Tokens = 80_000
	if plan := run(t, list, p); plan.Prefill > 1000 || len(plan.Helpers) != 2 {
		t.Errorf("got %+v, want a prompt that fits the bound to run", plan)
	}
}

// Guards against starvation: engines prefill the newest part of a group first, so a new group must not delay older
// prompts past their due time.
func TestGroupsKeepOlderPromptsInTime(t *testing.T) {
	list := engines(4)
	for i := range list {
		list[i].Load = prefillLoad(700, 1300)
	}
	if plan, verdict := assignment.Choose(pool(), list, longPrompt()); verdict != assignment.VerdictWait {
		t.Errorf("got %s, %+v; the older prompt would miss its time", verdict, plan)
	}
	for i := range list {
		list[i].Load = prefillLoad(700, 3900)
	}
	run(t, list, longPrompt())
}

// Guards against sending a prompt to a single engine whose memory it exceeds, and against groups that engines always reject because
// the first one's own reservation makes one helper too many.
func TestHugePromptsShareMemory(t *testing.T) {
	if plan := run(t, engines(14), hugePrompt()); !plan.Shared {
		t.Errorf("got %+v, want shared memory", plan)
	}
	many := engines(40)
	for i := range many {
		many[i].LoadKnown = true
	}
	if plan := run(t, many, hugePrompt()); !plan.Shared || len(plan.Helpers) > 15 {
		t.Errorf("got %+v, want memory reserved on at most 16 engines, which the first one accepts as helpers", plan)
	}
	if plan := run(t, many, longPrompt()); plan.Shared || len(plan.Helpers) > 16 {
		t.Errorf("got %+v, want at most 16 helpers and no memory reserved", plan)
	}
	if plan := run(t, engines(14), longPrompt()); plan.Shared {
		t.Errorf("got %+v, want no reservation for a prompt that one engine holds", plan)
	}
}

// Guards against prompts that wait until their callers abandon them, and against late prompts that delay others: they
// are rejected while their callers can still retry. Only the largest, which can't meet their targets anyway, wait
// longer.
func TestWaitIsBounded(t *testing.T) {
	list := engines(3)
	for i := range list {
		list[i].Load = prefillLoad(3000, 3100)
	}
	for _, test := range []struct {
		prompt         *assignment.Prompt
		target, remain clock.Millis
		want           assignment.Verdict
	}{
		{longPrompt(), 2000, 13_000, assignment.VerdictWait},
		{longPrompt(), -100, 10_900, assignment.VerdictYield},
		{hugePrompt(), -2000, 9000, assignment.VerdictWait},
		{hugePrompt(), -4000, 7000, assignment.VerdictYield},
	} {
		p := test.prompt
		p.Target, p.CallerTimeout, p.TimeLeft = test.target, test.remain, test.remain+5000
		if _, verdict := assignment.Choose(pool(), list, p); verdict != test.want {
			t.Errorf("%d tokens, %d ms to the target: got %s, want %s", p.Tokens, p.Target, verdict, test.want)
		}
	}
}

// Guards against long prompts that wait at a peak of short ones, where no engine becomes free in time: they are turned
// away at once.
func TestLongPromptsYieldAtPeak(t *testing.T) {
	list := engines(6)
	for i := range list {
		list[i].Load = decodingLoad(14)
	}
	if _, verdict := assignment.Choose(pool(), list, longPrompt()); verdict != assignment.VerdictYield {
		t.Errorf("got %s, want yield", verdict)
	}
}

// Guards against engines that take no long prompts after a peak because each still serves one or two short ones, and
// against plans that pause many streams, streams with longer limits, or any stream without need.
func TestLongPromptsPauseFewShortPrompts(t *testing.T) {
	fill := func(n int, load fleet.Load) []fleet.Candidate {
		list := engines(n)
		for i := range list {
			list[i].Load = load
		}
		return list
	}
	plan := run(t, fill(6, decodingLoad(1)), longPrompt())
	if len(plan.Helpers) == 0 {
		t.Errorf("got %+v, want a group", plan)
	}
	for name, load := range map[string]fleet.Load{
		"many streams":   decodingLoad(5),
		"medium streams": {Requests: 1, Decoding: 1, MinPause: 600, MaxPause: 600},
	} {
		if _, verdict := assignment.Choose(pool(), fill(6, load), longPrompt()); verdict != assignment.VerdictWait {
			t.Errorf("%s: got %s, want wait", name, verdict)
		}
	}
	list := fill(12, fleet.Load{})
	for i := range 4 {
		list[i].Load = decodingLoad(1)
	}
	plan = run(t, list, longPrompt())
	for i := range 4 {
		if id := list[i].ID; id == plan.First || slices.Contains(plan.Helpers, id) {
			t.Errorf("engine %s takes part although others suffice", id)
		}
	}
}

// enginesOutside returns the engines of a plan that are in none of the failure domains.
func enginesOutside(list []fleet.Candidate, plan *assignment.Plan, domains ...poplarwinch.FailureDomain) []poplarwinch.UpstreamID {
	var ids []poplarwinch.UpstreamID
	for i := range list {
		e := &list[i]
		if !slices.Contains(domains, e.Domain) && (plan.First == e.ID || slices.Contains(plan.Helpers, e.ID)) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// mediumPrompt returns a medium prompt that has just arrived; several engines prefill it within a fraction of a second.
func mediumPrompt() *assignment.Prompt {
	p := longPrompt()
	p.Tokens, p.Target, p.FullTarget, p.MaxPause, p.CallerTimeout, p.FullCallerTimeout = 45_000, 1500, 1500, 600, 6000, 6000
	return p
}

// Guards against plans with engines of other failure domains, whose load is known late, while the own domain has enough.
func TestLargeDomainsPlanLocally(t *testing.T) {
	list := engines(45)
	for i := range list {
		list[i].LoadKnown = true
	}
	for _, p := range []*assignment.Prompt{shortPrompt(), mediumPrompt()} {
		plan := run(t, list, p)
		if ids := enginesOutside(list, &plan, "a"); len(ids) > 0 {
			t.Errorf("%d tokens: engines %v of other failure domains take part", p.Tokens, ids)
		}
	}
}

// Guards against long prompts that wait for local engines while other failure domains are idle, and against plans with
// engines whose load is not known.
func TestLongPromptsSpillOver(t *testing.T) {
	list := engines(45)
	for i := range list {
		if e := &list[i]; e.Domain == "a" {
			e.Load, e.LoadKnown = prefillLoad(3000, 3050), true
		}
	}
	for _, p := range []*assignment.Prompt{mediumPrompt(), longPrompt()} {
		if _, verdict := assignment.Choose(pool(), list, p); verdict != assignment.VerdictWait {
			t.Errorf("%d tokens: got %s, want wait while nothing is known of other failure domains", p.Tokens, verdict)
		}
	}
	for i := range list {
		list[i].LoadKnown = list[i].LoadKnown || list[i].Domain == "b"
	}
	for _, p := range []*assignment.Prompt{mediumPrompt(), longPrompt()} {
		plan := run(t, list, p)
		if ids := enginesOutside(list, &plan, "b"); len(ids) > 0 {
			t.Errorf("%d tokens: engines %v take part", p.Tokens, ids)
		}
	}
}

// Guards against a peak in one failure domain that makes short prompts late while others have room, and against filling
// up those others on outdated load reports.
func TestShortPromptsSpillOver(t *testing.T) {
	list := engines(45)
	for i := range list {
		e := &list[i]
		e.LoadKnown = true
		if e.Domain == "a" {
			e.Load = decodingLoad(16)
		} else {
			e.Load = decodingLoad(8)
		}
	}
	p := shortPrompt()
	if _, verdict := assignment.Choose(pool(), list, p); verdict != assignment.VerdictWait {
		t.Errorf("got %s, want wait while the prompt may still find a local engine", verdict)
	}
	p.Target = 240
	plan := run(t, list, p)
	if ids := enginesOutside(list, &plan, "b", "c"); len(ids) > 0 {
		t.Errorf("engines %v take part", ids)
	}
	for i := range list {
		if list[i].Domain != "a" {
			list[i].Load = decodingLoad(12)
		}
	}
	if _, verdict := assignment.Choose(pool(), list, p); verdict != assignment.VerdictYield {
		t.Errorf("got %s, want yield while no failure domain has much room", verdict)
	}
}

// Guards against requests to servers that failed, and against a service without any server when all have failed.
func TestAvoidedServers(t *testing.T) {
	list := engines(3)
	list[0].Avoid = true
	for range 3 {
		if plan, _ := assignment.Server(list, "a", 1000, 1000); plan.First == "A" {
			t.Error("a server that failed was chosen")
		}
	}
	for i := range list {
		list[i].Avoid = true
	}
	if plan, _ := assignment.Server(list, "a", 1000, 1000); plan.First != "A" {
		t.Errorf("got %+v, want the local one when all have failed", plan)
	}
}

// Guards against invalid plans: under any load, a plan names each engine once, stays within slots and memory, and
// predicts no first event after the deadline.
func TestPlansAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(1, 20).Draw(t, "engines"))
		for i := range list {
			requests := rapid.IntRange(0, 17).Draw(t, "requests")
			list[i].Load = fleet.Load{
				Requests: requests, Decoding: rapid.IntRange(0, requests).Draw(t, "decoding"),
				Prefilling: rapid.IntRange(0, 3).Draw(t, "readers"), Prefill: clock.Millis(rapid.IntRange(0, 4000).Draw(t, "read")),
				Due:      clock.Millis(rapid.IntRange(-500, 4000).Draw(t, "due")),
				MinPause: rapid.SampledFrom([]clock.Millis{0, 250, 600, 1000}).Draw(t, "pause"),
				Memory:   poplarwinch.Tokens(rapid.IntRange(0, 500_000).Draw(t, "memory")),
			}
			list[i].Avoid = rapid.Bool().Draw(t, "avoid")
		}
		p := longPrompt()
		p.Tokens = poplarwinch.Tokens(rapid.IntRange(1, 900_000).Draw(t, "tokens"))
		p.Target = clock.Millis(rapid.IntRange(-3000, 4000).Draw(t, "target"))
		p.TimeLeft = clock.Millis(rapid.IntRange(1, 15_000).Draw(t, "left"))
		p.CallerTimeout = clock.Millis(rapid.IntRange(1, int(p.TimeLeft)).Draw(t, "timeout"))
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
	if plan.FirstEvent > p.TimeLeft {
		t.Fatalf("first event after %d ms, deadline after %d ms", plan.FirstEvent, p.TimeLeft)
	}
	for i := range list {
		e := &list[i]
		if e.ID != plan.First || plan.Shared {
			continue
		}
		if e.Load.Requests >= pool().Slots || e.Load.Memory+p.Tokens+p.AnswerTokens > pool().MemoryTokens {
			t.Fatalf("engine %+v has no room for %d tokens", e.Load, p.Tokens)
		}
	}
}

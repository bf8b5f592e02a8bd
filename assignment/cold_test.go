package assignment_test

import (
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// Guards against prompts and requests that go to cold servers while warm ones have room, that are packed on cold engines, or that are
// sent to a cold server which may not get another one yet.
func TestWarmServersComeFirst(t *testing.T) {
	candidate := func(id string, cold bool, wait int, requests int) fleet.Candidate {
		c := fleet.Candidate{Server: fleet.Server{ID: poplarwinch.UpstreamID(id), Domain: "a", Slots: 16}, Cold: cold, Wait: ms(float64(wait)), LoadKnown: true}
		c.Load.Requests, c.Load.Decoding = requests, requests
		if requests > 0 {
			c.Load.MinPause, c.Load.MaxPause = 250, 250
		}
		return c
	}
	short := &assignment.Prompt{Tokens: 5000, AnswerTokens: 1300, MaxPause: 250, Target: 300, FullTarget: 300, TimeLeft: 10_000, CallerTimeout: 2000, FullCallerTimeout: 2000, Domain: "a"}
	long := *short
	long.Tokens, long.MaxPause, long.Target, long.FullTarget = 45_000, 600, 1500, 1500
	for name, c := range map[string]struct {
		list []fleet.Candidate
		want string
	}{
		"a warm engine":                  {[]fleet.Candidate{candidate("cold", true, 0, 0), candidate("warm", false, 0, 0)}, "warm"},
		"a cold engine with requests":    {[]fleet.Candidate{candidate("cold", true, 0, 3), candidate("warm", false, 0, 0)}, "warm"},
		"cold engines only":              {[]fleet.Candidate{candidate("cold", true, 0, 0), candidate("other", true, 40, 0)}, "cold"},
		"two cold engines with requests": {[]fleet.Candidate{candidate("full", true, 0, 3), candidate("cold", true, 0, 0)}, "cold"},
	} {
		plan, verdict := assignment.Choose(pool(), c.list, short)
		if verdict != assignment.VerdictRun || string(plan.First) != c.want {
			t.Errorf("%s: got %s on %s, want %s", name, verdict, plan.First, c.want)
		}
		if plan, verdict = assignment.Server(c.list, "a", 2000, 2000); verdict != assignment.VerdictRun || string(plan.First) != c.want {
			t.Errorf("%s, plain: got %s on %s, want %s", name, verdict, plan.First, c.want)
		}
		plan, verdict = assignment.Choose(pool(), c.list, &long)
		if verdict != assignment.VerdictRun || c.list[1].Wait > 0 && len(plan.Helpers) > 0 {
			t.Errorf("%s, long: got %s on %s with %v", name, verdict, plan.First, plan.Helpers)
		}
	}
	closed := []fleet.Candidate{candidate("cold", true, 60, 0)}
	if _, verdict := assignment.Choose(pool(), closed, short); verdict != assignment.VerdictWait {
		t.Errorf("a cold engine that may get nothing now: got %s", verdict)
	}
}

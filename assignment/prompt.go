// Package assignment decides which engines run a prompt, how many of them prefill it together, and whether it has to
// wait. It schedules a mix of short prompts with tight limits on the pauses between events and long ones whose prefill
// takes seconds.
package assignment

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Prompt is what a scheduling decision needs to know of a request.
type Prompt struct {
	Tokens poplarwinch.Tokens
	// AnswerTokens is the expected number of tokens of the answer.
	AnswerTokens poplarwinch.Tokens
	// Target is the time left until the first event is expected; it may be negative. FullTarget is its value at the
	// arrival of the request.
	Target     clock.Millis
	FullTarget clock.Millis
	// TimeLeft is the time left until the request's deadline.
	TimeLeft clock.Millis
	// CallerTimeout is the time left until the caller abandons the request unless an event has come. FullCallerTimeout is its
	// value at the arrival of the request.
	CallerTimeout     clock.Millis
	FullCallerTimeout clock.Millis
	// MaxPause is the longest pause between events that the caller accepts; zero means no limit.
	MaxPause clock.Millis
	// Seed differs between requests. It spreads requests over engines of nearly the same cost.
	Seed uint64
	// FirstEventFactor is the learned ratio of the actual to the predicted time to the first event; zero means that nothing was learned.
	// It applies to the first event of a plan, not to the comparison of engines and the stages.
	FirstEventFactor float64
	// Domain is the failure domain whose engines are preferred.
	Domain poplarwinch.FailureDomain
	// Path is the additional time on the network that the prompt and its first event take, because all engines are in other failure
	// domains; zero in other cases.
	Path clock.Millis
}

// correct applies the learned correction to a predicted time to the first event.
func (p *Prompt) correct(millis float64) float64 {
	if p.FirstEventFactor <= 0 {
		return millis
	}
	return millis * p.FirstEventFactor
}

// Reason says why a plan was chosen.
type Reason string

const (
	// ReasonPacked means that the engine already serves requests with a pause limit no longer than the prompt's.
	ReasonPacked Reason = "packed"
	// ReasonOpened means that the engine served no such requests.
	ReasonOpened Reason = "opened"
	// ReasonGroup means that several engines prefill the prompt together.
	ReasonGroup Reason = "group"
	// ReasonSingle means that one engine prefills a long prompt.
	ReasonSingle Reason = "single"
	// ReasonLate means that the prompt misses its target and no longer waits.
	ReasonLate Reason = "late"
)

// Plan names the engines of an attempt.
type Plan struct {
	// First is the engine that decodes the answer.
	First poplarwinch.UpstreamID
	// Helpers prefill parts of the prompt.
	Helpers []poplarwinch.UpstreamID
	// Prefill is the prefill time of each engine's part.
	Prefill clock.Millis
	// FirstEvent is the predicted time to the first event.
	FirstEvent clock.Millis
	// Predicted is the predicted time to the answer of a plain service; zero if nothing was learned.
	Predicted clock.Millis
	// Shared says that no single engine has the memory for the prompt, so that it must be reserved on several.
	Shared bool
	Reason Reason
}

// Verdict is the outcome of a scheduling decision.
type Verdict string

const (
	// VerdictRun means that the plan is to be carried out.
	VerdictRun Verdict = "run"
	// VerdictWait means that the prompt waits for a change of the fleet.
	VerdictWait Verdict = "wait"
	// VerdictYield means that the prompt is rejected because the engines are too busy; the caller may retry later.
	VerdictYield Verdict = "yield"
	// VerdictLimited means that the prompt is rejected because the limits of all servers are used up; the caller may retry later.
	VerdictLimited Verdict = "limited"
	// VerdictResting means that the prompt is rejected because all servers want no requests for a time; the caller may retry then.
	VerdictResting Verdict = "resting"
	// VerdictReject means that the prompt can't be answered before its deadline.
	VerdictReject Verdict = "reject"
)

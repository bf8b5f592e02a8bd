// Package assignment decides which engines run a prompt, how many of them read it together, and when it has to wait. It
// answers the load in which short prompts with tight limits between events meet long ones that occupy engines for seconds.
package assignment

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Prompt is what a decision needs to know of a request.
type Prompt struct {
	Tokens poplarwinch.Tokens
	// Answer is the expected number of tokens of the answer.
	Answer poplarwinch.Tokens
	// Target is the time that is left until the first event is expected; it may be negative. FullTarget is the time that
	// there was when the request arrived.
	Target     clock.Millis
	FullTarget clock.Millis
	// Left is the time that is left until the request's deadline.
	Left clock.Millis
	// Patience is the time that is left until the caller gives up unless an event has come, and FullPatience the time that
	// there was when the request arrived.
	Patience     clock.Millis
	FullPatience clock.Millis
	// MaxPause is the longest pause between events that the caller accepts; zero when there is no limit.
	MaxPause clock.Millis
	// Domain is the failure domain whose engines are preferred.
	Domain poplarwinch.FailureDomain
}

// Reason says why a plan was chosen.
type Reason string

// The reasons.
const (
	// ReasonPacked means that the engine already serves short prompts.
	ReasonPacked Reason = "packed"
	// ReasonOpened means that the engine had no short prompts before.
	ReasonOpened Reason = "opened"
	// ReasonGroup means that several engines read the prompt together.
	ReasonGroup Reason = "group"
	// ReasonSingle means that one engine reads a long prompt alone.
	ReasonSingle Reason = "single"
	// ReasonLate means that no engine can serve the request without harm or in time, and that it does not wait longer.
	ReasonLate Reason = "late"
)

// Plan names the engines of an attempt.
type Plan struct {
	// First is the engine that answers.
	First poplarwinch.UpstreamID
	// Helpers read parts of the prompt.
	Helpers []poplarwinch.UpstreamID
	// Read is the time that each engine needs for its part.
	Read clock.Millis
	// FirstEvent is the predicted time to the first event.
	FirstEvent clock.Millis
	// Shared says that no engine alone has the memory for the prompt, so that it must be reserved on several.
	Shared bool
	Reason Reason
}

// Verdict says what becomes of a prompt now.
type Verdict string

// The verdicts.
const (
	// VerdictRun means that the plan is to be carried out.
	VerdictRun Verdict = "run"
	// VerdictWait means that the prompt had better wait for a change of the fleet.
	VerdictWait Verdict = "wait"
	// VerdictYield means that the prompt is late while the engines are nearly full, so that it had better come back later.
	VerdictYield Verdict = "yield"
	// VerdictReject means that the prompt can't be answered in the time that is left.
	VerdictReject Verdict = "reject"
)

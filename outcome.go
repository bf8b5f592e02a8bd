package poplarwinch

// Outcome says what is known about the execution of a request.
type Outcome string

const (
	// OutcomeCompleted means that the caller received the whole answer.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that no upstream ran any part of the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that a model prompt may have run in part. It is safe to send it again.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a non-repeatable call may have run.
	OutcomeUnknown Outcome = "unknown"
)

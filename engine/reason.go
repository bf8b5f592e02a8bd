package engine

// Reason classifies a failure of a stream.
type Reason string

// The reasons of a StreamError.
const (
	// ReasonForeign means that a frame or the response belongs to another stream.
	ReasonForeign Reason = "foreign"
	// ReasonGap means that at least one frame is missing.
	ReasonGap Reason = "gap"
	// ReasonTruncated means that the response ended or its connection broke before the last frame.
	ReasonTruncated Reason = "truncated"
	// ReasonStalled means that no byte arrived within the idle timeout.
	ReasonStalled Reason = "stalled"
	// ReasonUnknownStream means that the engine does not know the stream.
	ReasonUnknownStream Reason = "unknown-stream"
	// ReasonDuplicateStream means that the engine has seen the stream id before.
	ReasonDuplicateStream Reason = "duplicate-stream"
	// ReasonUnreachable means that no response headers arrived.
	ReasonUnreachable Reason = "unreachable"
	// ReasonMalformed means that the response does not follow the protocol.
	ReasonMalformed Reason = "malformed"
	// ReasonRejected means that the engine answered with another error status; the protocol does not say
	// whether the prompt ran.
	ReasonRejected Reason = "rejected"
	// ReasonFailed means that the engine ended the stream with an error event.
	ReasonFailed Reason = "failed"
	// ReasonCanceled means that the caller's context ended.
	ReasonCanceled Reason = "canceled"
)

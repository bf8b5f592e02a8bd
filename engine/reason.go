package engine

// Reason classifies a failure of a stream.
type Reason string

// The reasons of a StreamError.
const (
	// ReasonForeign means that the response or one of its frames belongs to another stream.
	ReasonForeign Reason = "foreign"
	// ReasonGap means that at least one frame is missing.
	ReasonGap Reason = "gap"
	// ReasonTruncated means that the response ended or its connection broke before the last frame.
	ReasonTruncated Reason = "truncated"
	// ReasonStalled means that no data arrived within the idle timeout.
	ReasonStalled Reason = "stalled"
	// ReasonUnknownStream means that the engine does not know the stream.
	ReasonUnknownStream Reason = "unknown-stream"
	// ReasonDuplicateStream means that the stream id was used on the engine before.
	ReasonDuplicateStream Reason = "duplicate-stream"
	// ReasonUnreachable means that no response headers arrived.
	ReasonUnreachable Reason = "unreachable"
	// ReasonMalformed means that the response violates the protocol.
	ReasonMalformed Reason = "malformed"
	// ReasonRejected means that the engine responded with another error status. The protocol does not define whether the
	// prompt ran.
	ReasonRejected Reason = "rejected"
	// ReasonFailed means that the engine ended the stream with an error event.
	ReasonFailed Reason = "failed"
	// ReasonCanceled means that the caller's context ended.
	ReasonCanceled Reason = "canceled"
)

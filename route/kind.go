package route

// Kind says how often a request may be executed.
type Kind string

const (
	// KindIdempotent requests may be executed more than once.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent requests may be executed at most once.
	KindNonIdempotent Kind = "non-idempotent"
	// KindStreaming requests are answered with an event stream and may be executed at most once unless the stream can be
	// resumed.
	KindStreaming Kind = "streaming"
)

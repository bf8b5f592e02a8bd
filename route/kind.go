package route

// Kind says how often a request may run.
type Kind string

// The kinds of requests.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent requests may run once at most.
	KindNonIdempotent Kind = "non-idempotent"
	// KindStreaming requests are answered with an event stream and may run once at most unless the stream can be resumed.
	KindStreaming Kind = "streaming"
)

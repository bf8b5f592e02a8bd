package entry

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Limits bounds the resources that callers use in one instance.
type Limits struct {
	// MaxBody is the longest request body.
	MaxBody poplarwinch.Bytes
	// BodyMemory is the memory for request bodies of all requests in progress.
	BodyMemory poplarwinch.Bytes
	// MaxAnswer is the longest answer that is buffered for a caller that did not ask for a stream.
	MaxAnswer poplarwinch.Bytes
	// MaxRequests is the highest number of requests in progress.
	MaxRequests int64
	// WriteStall is the time without progress after which a write to a caller fails.
	WriteStall clock.Millis
	// ResumeGrace is the time for which an engine keeps the stream of a caller that disconnected.
	ResumeGrace clock.Millis
}

// DefaultLimits returns the limits that apply without settings.
func DefaultLimits() Limits {
	return Limits{
		MaxBody: 16 << 20, BodyMemory: 256 << 20, MaxAnswer: 8 << 20, MaxRequests: 4096,
		WriteStall: 30 * clock.Second, ResumeGrace: 15 * clock.Second,
	}
}

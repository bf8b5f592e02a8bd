package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Load is the work on one server, as far as it is known.
type Load struct {
	// Requests is the number of requests that the server runs as the first engine.
	Requests int
	// Decoding is the number of those that have sent their first event.
	Decoding int
	// Readers is the number of prompts of which the server still reads something.
	Readers int
	// Read is the estimated time that the server still needs for these prompts.
	Read clock.Millis
	// Due is the time that is left until the first of these prompts should have been read; it counts only while there are
	// readers, and may be negative.
	Due clock.Millis
	// MinPause is the tightest limit of pauses between events among the requests; zero when there is none.
	MinPause clock.Millis
	// Memory is the KV cache that the requests will occupy.
	Memory poplarwinch.Tokens
}

// add sums two parts of a server's work, apart from Read.
func (l Load) add(o Load) Load {
	if o.Readers > 0 && (l.Readers == 0 || o.Due < l.Due) {
		l.Due = o.Due
	}
	l.Requests += o.Requests
	l.Decoding += o.Decoding
	l.Readers += o.Readers
	l.Memory += o.Memory
	l.MinPause = tighter(l.MinPause, o.MinPause)
	return l
}

// most returns the larger part of two views of the same work.
func (l Load) most(o Load) Load {
	if o.Readers > 0 && (l.Readers == 0 || o.Due < l.Due) {
		l.Due = o.Due
	}
	l.Requests = max(l.Requests, o.Requests)
	l.Decoding = max(l.Decoding, o.Decoding)
	l.Readers = max(l.Readers, o.Readers)
	l.Read = max(l.Read, o.Read)
	l.Memory = max(l.Memory, o.Memory)
	l.MinPause = tighter(l.MinPause, o.MinPause)
	return l
}

// tighter returns the smaller of two limits, where zero means that there is none.
func tighter(a, b clock.Millis) clock.Millis {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

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
	// Pending is the reading time of the prompts without helpers that have not sent their first event. It does not shrink while
	// they are read: an engine reads all of them in one pass and sends their first events at its end.
	Pending clock.Millis
	// PendingDue is the time that is left until the first of these prompts should have been read. It counts only while Pending
	// is not zero, and may be negative.
	PendingDue clock.Millis
	// Due is the time that is left until the first of these prompts should have been read; it counts only while there are
	// readers, and may be negative.
	Due clock.Millis
	// MinPause is the tightest limit of pauses between events among the requests; zero when there is none.
	MinPause clock.Millis
	// MaxPause is the loosest such limit.
	MaxPause clock.Millis
	// Memory is the KV cache that the requests will occupy.
	Memory poplarwinch.Tokens
}

// add sums two parts of a server's work, apart from Read.
func (l Load) add(o Load) Load {
	l.Due, l.PendingDue = l.earlier(o)
	l.Requests += o.Requests
	l.Decoding += o.Decoding
	l.Readers += o.Readers
	l.Pending += o.Pending
	l.Memory += o.Memory
	l.MinPause = tighter(l.MinPause, o.MinPause)
	l.MaxPause = max(l.MaxPause, o.MaxPause)
	return l
}

// earlier returns the earlier ones of the times until which two parts of a server's work should be read.
func (l Load) earlier(o Load) (due, pendingDue clock.Millis) {
	due, pendingDue = l.Due, l.PendingDue
	if o.Readers > 0 && (l.Readers == 0 || o.Due < due) {
		due = o.Due
	}
	if o.Pending > 0 && (l.Pending == 0 || o.PendingDue < pendingDue) {
		pendingDue = o.PendingDue
	}
	return due, pendingDue
}

// most returns the larger part of two views of the same work.
func (l Load) most(o Load) Load {
	l.Due, l.PendingDue = l.earlier(o)
	l.Requests = max(l.Requests, o.Requests)
	l.Decoding = max(l.Decoding, o.Decoding)
	l.Readers = max(l.Readers, o.Readers)
	l.Read = max(l.Read, o.Read)
	l.Pending = max(l.Pending, o.Pending)
	l.Memory = max(l.Memory, o.Memory)
	l.MinPause = tighter(l.MinPause, o.MinPause)
	l.MaxPause = max(l.MaxPause, o.MaxPause)
	return l
}

// withPause adds a request's limit between events.
func (l Load) withPause(limit clock.Millis) Load {
	l.MinPause = tighter(l.MinPause, limit)
	l.MaxPause = max(l.MaxPause, limit)
	return l
}

// tighter returns the smaller of two limits, where zero means that there is none.
func tighter(a, b clock.Millis) clock.Millis {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Load is the known load that requests put on one server.
type Load struct {
	// Requests is the number of requests for which the server is the first engine.
	Requests int
	// Decoding is the number of those that have sent their first event.
	Decoding int
	// Prefilling is the number of prompts, or parts of prompts, that are in prefill on the server.
	Prefilling int
	// Prefill is the estimated time that the server still needs to prefill them.
	Prefill clock.Millis
	// PendingPrefill is the prefill time of the prompts without helpers that have not sent their first event. It does
	// not shrink during the prefill, because an engine prefills all of them in one pass and sends their first events at
	// its end.
	PendingPrefill clock.Millis
	// PendingDue is the time left until the first of these prompts is due to be prefilled. It counts only while
	// PendingPrefill is not zero, and may be negative.
	PendingDue clock.Millis
	// Due is the time left until the first of the prompts counted by Prefilling is due to be prefilled. It counts only
	// while Prefilling is not zero, and may be negative.
	Due clock.Millis
	// MinPause is the tightest limit on pauses between events among the requests; zero means no limit.
	MinPause clock.Millis
	// MaxPause is the loosest such limit.
	MaxPause clock.Millis
	// Memory is the KV cache that the requests will occupy.
	Memory poplarwinch.Tokens
}

// add returns the sum of two parts of a server's load, except for Prefill.
func (l Load) add(o Load) Load {
	l.Due, l.PendingDue = l.earliestDue(o)
	l.Requests += o.Requests
	l.Decoding += o.Decoding
	l.Prefilling += o.Prefilling
	l.PendingPrefill += o.PendingPrefill
	l.Memory += o.Memory
	l.MinPause = tighterLimit(l.MinPause, o.MinPause)
	l.MaxPause = max(l.MaxPause, o.MaxPause)
	return l
}

// earliestDue returns the earlier due times of two parts of a server's load.
func (l Load) earliestDue(o Load) (due, pendingDue clock.Millis) {
	due, pendingDue = l.Due, l.PendingDue
	if o.Prefilling > 0 && (l.Prefilling == 0 || o.Due < due) {
		due = o.Due
	}
	if o.PendingPrefill > 0 && (l.PendingPrefill == 0 || o.PendingDue < pendingDue) {
		pendingDue = o.PendingDue
	}
	return due, pendingDue
}

// mergeMax returns the larger figures of two views of the same load.
func (l Load) mergeMax(o Load) Load {
	l.Due, l.PendingDue = l.earliestDue(o)
	l.Requests = max(l.Requests, o.Requests)
	l.Decoding = max(l.Decoding, o.Decoding)
	l.Prefilling = max(l.Prefilling, o.Prefilling)
	l.Prefill = max(l.Prefill, o.Prefill)
	l.PendingPrefill = max(l.PendingPrefill, o.PendingPrefill)
	l.Memory = max(l.Memory, o.Memory)
	l.MinPause = tighterLimit(l.MinPause, o.MinPause)
	l.MaxPause = max(l.MaxPause, o.MaxPause)
	return l
}

// withPause adds a request's limit on pauses between events.
func (l Load) withPause(limit clock.Millis) Load {
	l.MinPause = tighterLimit(l.MinPause, limit)
	l.MaxPause = max(l.MaxPause, limit)
	return l
}

// tighterLimit returns the smaller of two limits, where zero means no limit.
func tighterLimit(a, b clock.Millis) clock.Millis {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

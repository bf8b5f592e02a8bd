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
	// Read is the estimated time that the server still needs for the prompts that were sent to it.
	Read clock.Millis
	// Parts is the number of prompts that the server reads for another first engine.
	Parts int
	// MinPause is the tightest limit of pauses between events among the requests; zero when there is none.
	MinPause clock.Millis
	// Memory is the KV cache that the requests will occupy.
	Memory poplarwinch.Tokens
}

// add sums two parts of a server's work.
func (l Load) add(o Load) Load {
	l.Requests += o.Requests
	l.Decoding += o.Decoding
	l.Read += o.Read
	l.Parts += o.Parts
	l.Memory += o.Memory
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

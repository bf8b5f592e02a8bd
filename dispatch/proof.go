package dispatch

import (
	"context"
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/route"
)

// answerProbeDelay is the time after which a server that ended an answer with its connection is probed.
const answerProbeDelay clock.Millis = 600

// recordAnswer records a complete answer as proof that the request and the parts of its prompt are harmless. If the end of the connection
// ended the answer, the server may have crashed: while deaths are held against the request, a probe has to show that it did not.
func (x *run) recordAnswer(selected *selection) {
	completedAt := x.d.clock.Now()
	switch {
	case !x.isProof(selected):
		return
	case !selected.answer.EndsWithConnection:
		x.d.suspects.RecordAnswer(x.suspects, completedAt)
		return
	case !x.d.suspects.IsHeldAgainst(x.suspects):
		return
	}
	s := selected.first
	x.d.background.Go(func() {
		_ = x.d.clock.Sleep(context.Background(), answerProbeDelay)
		x.d.runProbe(s, func(alive bool) {
			if alive && x.d.fleet.IsListed(s) {
				x.d.suspects.RecordAnswer(x.suspects, completedAt)
			}
		})
	})
}

// isProof reports whether a complete answer shows that its server survived the request: the server wrote it from its first event to the
// last one, and ran the request with success. The rest of an answer that another server began doesn't show it: what crashes servers after
// some time may be over before that.
func (x *run) isProof(selected *selection) bool {
	a := selected.answer
	if selected.resumed || a.Status < http.StatusOK || a.Status >= http.StatusMultipleChoices {
		return false
	}
	return x.Route.Kind != route.KindStreaming || !a.isEventStream() || selected.events > 0
}

package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against a part that is taken for harmless because of an answer that no server wrote whole: the rest of a resumed one, one that
// reports an error, and one that ended because its server crashed.
func TestAnswersThatClearASuspect(t *testing.T) {
	const stream = "id: 7\ndata: x\n\n"
	for name, c := range map[string]struct {
		status      int
		body        string
		resumed     bool
		unframed    bool
		unreachable bool
		clears      bool
	}{
		"complete":                  {status: http.StatusOK, body: stream, clears: true},
		"the rest of an answer":     {status: http.StatusOK, body: stream, resumed: true},
		"no event":                  {status: http.StatusOK},
		"an error":                  {status: http.StatusNotFound, body: "none"},
		"ended with the connection": {status: http.StatusOK, body: stream, unframed: true, clears: true},
		"ended with the connection, server crashed": {status: http.StatusOK, body: stream, unframed: true, unreachable: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, f *fixture) {
				suspects := quarantine.NewPromptSuspects(quarantine.FingerprintOf("c", "/x/", nil), []poplarwinch.PromptPartID{crashingPart})
				f.suspects.RecordCrash(suspects, quarantine.Death{Upstream: "gone", At: f.dispatcher.Now(), Silence: 100})
				f.answer = func(_ context.Context, _ int, call *dispatch.Call) (*dispatch.Answer, error) {
					f.mutex.Lock()
					f.unreachable[call.Server.ID] = c.unreachable
					f.mutex.Unlock()
					a, err := complete(c.status, c.body)
					a.EndsWithConnection = c.unframed
					return a, err
				}
				r := f.request(route.KindStreaming)
				r.Model, r.SharedParts = "m", []poplarwinch.PromptPartID{crashingPart}
				if c.resumed {
					r.LastEventID = "6"
				}
				f.run(t.Context(), r)
				time.Sleep(2 * time.Second)
				if cleared := !f.suspects.IsHeldAgainst(suspects); cleared != c.clears {
					t.Errorf("cleared: %v, want %v", cleared, c.clears)
				}
				f.fleet.Apply(nil)
			})
		})
	}
}

// Guards against a crash that an answer clears although the server of the answer had completed it before: a probe that confirms the answer
// comes later.
func TestAnswerClearsNoLaterCrash(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		suspects := quarantine.NewPromptSuspects(quarantine.FingerprintOf("c", "/x/", nil), []poplarwinch.PromptPartID{crashingPart})
		crash := func(id poplarwinch.UpstreamID) {
			f.suspects.RecordCrash(suspects, quarantine.Death{Upstream: id, At: f.dispatcher.Now(), Silence: 100})
		}
		crash("before")
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			a, err := complete(http.StatusOK, "id: 1\ndata: x\n\n")
			a.EndsWithConnection = true
			return a, err
		}
		r := f.request(route.KindStreaming)
		r.Model, r.SharedParts = "m", []poplarwinch.PromptPartID{crashingPart}
		f.run(t.Context(), r)
		time.Sleep(100 * time.Millisecond)
		crash("after")
		time.Sleep(2 * time.Second)
		if n := f.suspects.Deaths(suspects.Request); n != 1 {
			t.Errorf("%d deaths are held against the request, want the one after the answer", n)
		}
	})
}

package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// notices returns the notices that the fleet would report to others.
func (f *fixture) notices() map[poplarwinch.UpstreamID]fleet.NoticeReport {
	list := map[poplarwinch.UpstreamID]fleet.NoticeReport{}
	for _, s := range f.fleet.Report().Servers {
		if s.Notice.Known() {
			list[s.ID] = s.Notice
		}
	}
	return list
}

// Guards against notices that are taken for those of the called server although the rejection names another one.
func TestRejectionForAnotherServer(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		f.answer = func(_ context.Context, n int, _ *dispatch.Call) (*dispatch.Answer, error) {
			if n == 1 {
				return nil, &dispatch.CallError{
					Failure: dispatch.FailureRefused, AtFault: "192.0.2.1:80", Cause: errors.New("scripted"),
					Notice: fleet.Notice{Leaving: true, Rest: 2000, Limit: 1},
				}
			}
			return complete(http.StatusOK, "done")
		}
		if o := f.run(t.Context(), f.request(route.KindIdempotent)); o.err != nil || len(f.notices()) > 0 {
			t.Errorf("got %+v and the notices %+v", o.err, f.notices())
		}
	})
}

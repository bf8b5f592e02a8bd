package dispatch_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/cost"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/route"
)

// withCost makes the dispatcher of the fixture learn.
func (f *fixture) withCost(uses dispatch.CostUses) *cost.Estimator {
	e := cost.New(clock.System(), "north")
	dispatch.WithCost(e, uses)(f.dispatcher)
	return e
}

// Guards against learned costs that the choice of a plain server doesn't use, or uses though it is switched off, errors that are taken
// for fast answers, and a log without the predicted and the actual time.
func TestLearnedCostOfPlainServers(t *testing.T) {
	for _, on := range []bool{true, false} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			e := f.withCost(dispatch.CostUses{ServerChoice: on})
			counts := map[poplarwinch.UpstreamID]int{}
			f.answer = func(_ context.Context, _ int, c *dispatch.Call) (*dispatch.Answer, error) {
				counts[c.Server.ID]++
				if c.Server.ID == "s3" {
					time.Sleep(5 * time.Millisecond)
					return complete(http.StatusBadGateway, "")
				}
				time.Sleep(map[poplarwinch.UpstreamID]time.Duration{"s1": 90 * time.Millisecond, "s2": 30 * time.Millisecond}[c.Server.ID])
				return complete(http.StatusOK, "x")
			}
			for range 120 {
				f.run(t.Context(), f.request(route.KindNonIdempotent))
				time.Sleep(4 * time.Second)
			}
			if on && counts["s2"] < 2*counts["s1"] {
				t.Errorf("requests %v, want most on the faster server", counts)
			}
			if !on && counts["s1"] < 60 {
				t.Errorf("requests %v, want the first of equally loaded servers", counts)
			}
			if pace := e.Pace("s3", 0); pace != 1 {
				t.Errorf("pace %.2f of a server that has answered errors only", pace)
			}
			last := f.log.Entries[len(f.log.Entries)-1]
			predicted, actual := last.Fields["predicted-ms"].(clock.Millis), last.Fields["actual-ms"].(clock.Millis)
			if f.calls[len(f.calls)-1].Server.ID != "s3" && (predicted < 20 || actual < 30) {
				t.Errorf("predicted %d ms, actual %d ms", predicted, actual)
			}
			var metrics bytes.Buffer
			f.dispatcher.WriteMetrics(&metrics)
			if !strings.Contains(metrics.String(), "poplarwinch_prediction_ratio") {
				t.Error("no metric of the error of predictions")
			}
		})
	}
}

// Guards against a first event of engines that is predicted wrongly for good, and against a correction that is applied though it is
// switched off.
func TestLearnedFirstEvent(t *testing.T) {
	for _, on := range []bool{true, false} {
		runInVirtualTime(t, func(t *testing.T, f *fixture) {
			f.withCost(dispatch.CostUses{FirstEvent: on})
			f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
				time.Sleep(60 * time.Millisecond)
				return complete(http.StatusOK, "id: 1\ndata: a\n\n")
			}
			for range 60 {
				f.run(t.Context(), f.request(route.KindStreaming))
				time.Sleep(5 * time.Second)
			}
			fields := f.log.Entries[len(f.log.Entries)-1].Fields
			ratio := float64(fields["actual-ms"].(clock.Millis)) / float64(fields["predicted-ms"].(clock.Millis))
			if exact := ratio > 0.9 && ratio < 1.1; exact != on {
				t.Errorf("correction %t: predicted %v ms, actual %v ms", on, fields["predicted-ms"], fields["actual-ms"])
			}
		})
	}
}

// Guards against requests without a prompt that engines answer quickly and that are taken for the cost of prompts.
func TestRequestsWithoutPromptAreNotLearned(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, f *fixture) {
		e := f.withCost(dispatch.CostUses{ServerChoice: true})
		f.answer = func(context.Context, int, *dispatch.Call) (*dispatch.Answer, error) {
			return complete(http.StatusOK, "x")
		}
		for range 5 {
			r := f.request(route.KindIdempotent)
			r.Service = "pool"
			f.run(t.Context(), r)
		}
		if p := e.Usual("pool"); p.Known() {
			t.Errorf("got %+v, want nothing learned", p)
		}
	})
}

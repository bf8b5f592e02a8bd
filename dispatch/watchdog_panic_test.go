package dispatch_test

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/route"
)

// panicsInProbe is the environment variable with which the test below runs itself.
const panicsInProbe = "POPLARWINCH_TEST_PANICS_IN_PROBE"

// Guards against all requests of an instance ending without a response, because a decision about a silent server panics outside of the
// request's goroutine, where nothing recovers it.
func TestPanicOfASilenceDecisionEndsOnlyItsRequest(t *testing.T) {
	if os.Getenv(panicsInProbe) == "" {
		command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestPanicOfASilenceDecisionEndsOnlyItsRequest$")
		command.Env = append(os.Environ(), panicsInProbe+"=1")
		if out, err := command.CombinedOutput(); err != nil {
			first, _, _ := strings.Cut(string(out), "\n")
			t.Errorf("the process ended with %v: %s", err, first)
		}
		return
	}
	f := newFixture(t)
	f.noRetries()
	f.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
		if f.sleep(ctx, 1200*time.Millisecond) != nil {
			return silence(ctx)
		}
		return complete(200, "answer")
	}
	dispatch.WithReachable(func(context.Context, fleet.Server) bool { panic("no such server") })(f.dispatcher)
	f.run(t.Context(), f.request(route.KindIdempotent))
}

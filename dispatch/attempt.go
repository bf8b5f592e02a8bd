package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// maxAnswer bounds the bytes of an answer that is kept until it is whole.
	maxAnswer = 16 << 20
	// readSize is the size of the buffer for an answer.
	readSize = 16 << 10
	// repeatTimeout is the time after which a repeatable request without an answer is sent to another server.
	repeatTimeout clock.Millis = 700
	// slowFactor and slowMargin bound the time to the first event by its prediction.
	slowFactor              = 3
	slowMargin clock.Millis = 1500
	// patience is the shortest time in which callers give up a silent stream; others wait for a multiple of the target or of
	// the limit between events. A silent stream is continued elsewhere before that.
	patience       clock.Millis = 2000
	patienceTarget              = 4
	patiencePause               = 8
	patienceShare               = 0.6
)

// errSilent is the cause of a call that was ended because its server sent nothing.
var errSilent = errors.New("the server sent nothing for too long")

// attempt runs the request on one server.
func (x *run) attempt(ctx context.Context) error {
	found, err := x.pick(ctx)
	if err != nil {
		return err
	}
	defer found.end(x.d)
	x.sends++
	x.last = found.first
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := newWatchdog(x.firstLimit(found), cancel)
	defer w.stop()
	answer, err := x.d.send(ctx, &Call{
		Request: x.Request, Server: found.first, Helpers: found.helpers, Resume: x.resumeFrom(),
		Left: (x.Deadline - x.d.clock.Now()).Duration(),
	})
	if err == nil {
		err = x.relay(answer, found, w)
	}
	return x.settle(ctx, found, err)
}

// resumeFrom returns the id of the last event that the caller has.
func (x *run) resumeFrom() string {
	if x.events.last != "" {
		return x.events.last
	}
	return x.After
}

// firstLimit returns the longest time to the answer, or to the first event; zero when the deadline alone counts.
func (x *run) firstLimit(found *spot) clock.Millis {
	switch {
	case !x.Route.MayRepeat() || x.ran+1 >= x.Route.MaxAttempts:
		return 0
	case x.Route.Kind == route.KindStreaming:
		return slowFactor*found.plan.FirstEvent + slowMargin
	}
	return repeatTimeout
}

// settle records what the attempt taught about its server and returns its error.
func (x *run) settle(ctx context.Context, found *spot, err error) error {
	var failed *CallError
	switch {
	case err == nil:
		x.d.fleet.Succeeded(found.first.ID)
		x.d.metrics.attempt(x.Service, "completed")
		return nil
	case !errors.As(err, &failed):
		return err
	}
	x.d.metrics.attempt(x.Service, string(failed.Failure))
	silent := errors.Is(context.Cause(ctx), errSilent)
	if failed.MayHaveRun() {
		x.ran++
	}
	if ctx.Err() != nil && !silent {
		return err
	}
	x.blame(found, failed)
	return err
}

// blame makes the rest of the request avoid the server at fault, and others too if that is justified.
func (x *run) blame(found *spot, failed *CallError) {
	for _, h := range found.helpers {
		if h.Address == failed.AtFault {
			x.avoid[h.ID] = true
			x.d.fleet.Failed(h.ID)
			x.d.doubt(h.Server, func(bool) {})
			return
		}
	}
	x.avoid[found.first.ID] = true
	switch failed.Failure {
	case FailureNotSent:
		x.d.lost(found.first)
	case FailureReplaced:
		x.d.fleet.Failed(found.first.ID)
	case FailureBroken:
		x.d.fleet.Failed(found.first.ID)
		x.suspect(found.first)
	default:
		x.d.fleet.Failed(found.first.ID)
	}
}

// relay passes the answer on to the caller.
func (x *run) relay(a *Answer, found *spot, w *watchdog) error {
	defer func() { _ = a.Body.Close() }()
	if x.Route.Kind == route.KindStreaming && a.Status < http.StatusMultipleChoices {
		return x.relayStream(a, found, w)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil {
		return &CallError{Failure: FailureBroken, Cause: err}
	}
	if len(body) > maxAnswer {
		return &CallError{Failure: FailureBroken, Cause: fmt.Errorf("the answer has more than %d bytes", maxAnswer)}
	}
	if a.Status >= http.StatusInternalServerError {
		if x.repeatFailure() {
			return &CallError{Failure: FailureBroken, Cause: fmt.Errorf("the server answered %d", a.Status)}
		}
		x.d.fleet.Failed(found.first.ID)
	}
	if x.begun {
		return &CallError{Failure: FailureBroken, Cause: fmt.Errorf("the server answered %d instead of resuming", a.Status)}
	}
	x.begin(a)
	return x.write(body)
}

// repeatFailure reports whether a failure that the server answered is worth another attempt.
func (x *run) repeatFailure() bool {
	return x.Route.MayRepeat() && x.ran+1 < x.Route.MaxAttempts
}

// relayStream passes whole events on as they arrive.
func (x *run) relayStream(a *Answer, found *spot, w *watchdog) error {
	buffer := make([]byte, readSize)
	x.events.rest()
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if whole := x.events.add(buffer[:n]); len(whole) > 0 {
				if x.firstEvent == 0 {
					x.firstEvent = max(x.d.clock.Now()-x.Started, 1)
				}
				found.ticket.FirstEvent()
				w.reset(x.pauseLimit())
				x.begin(a)
				if err := x.write(whole); err != nil {
					return err
				}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			x.begin(a)
			return x.write(x.events.rest())
		case err != nil:
			return &CallError{Failure: FailureBroken, Cause: err}
		}
	}
}

// pauseLimit returns the longest pause between events before the stream is continued at another server.
func (x *run) pauseLimit() clock.Millis {
	if !x.Route.Resumable || x.ran+1 >= x.Route.MaxAttempts || x.Route.MaxPause == 0 {
		return 0
	}
	return clock.Millis(patienceShare * float64(x.patience()))
}

// patience returns the time in which the caller gives up unless an event comes.
func (x *run) patience() clock.Millis {
	return max(patience, patienceTarget*x.Route.Target, patiencePause*x.Route.MaxPause)
}

// begin sends the status and headers of the first server that answers.
func (x *run) begin(a *Answer) {
	if !x.begun {
		x.begun = true
		x.reply.Begin(a)
	}
}

func (x *run) write(data []byte) error {
	if err := x.reply.Write(data); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// watchdog ends a call whose server sends nothing.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func newWatchdog(limit clock.Millis, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{cancel: cancel}
	if limit > 0 {
		w.reset(limit)
	}
	return w
}

// reset starts the span anew.
func (w *watchdog) reset(limit clock.Millis) {
	w.stop()
	if limit > 0 {
		w.timer = time.AfterFunc(limit.Duration(), func() { w.cancel(errSilent) })
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

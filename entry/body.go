package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"golang.org/x/sync/semaphore"
)

const (
	// bodyCopies is how often a request body is held at the same time: as received and as rewritten for the engine.
	bodyCopies = 2
	// bodyGrace and bodyMinimumRate bound the time of an upload, so that slow uploads don't occupy the body memory
	// until their request's deadline.
	bodyGrace                  = 5 * clock.Second
	bodyMinimumRate      int64 = 128 << 10 // bytes a second
	unknownLengthPortion int64 = 4         // a body of unknown length may take this fraction of the budget
)

// bodyBudget bounds the memory that request bodies take in one instance.
type bodyBudget struct {
	memory  *semaphore.Weighted
	total   int64
	maximum int64
}

func newBodyBudget(total, maximum poplarwinch.Bytes) *bodyBudget {
	return &bodyBudget{
		memory: semaphore.NewWeighted(int64(total)), total: int64(total),
		maximum: min(int64(maximum), int64(total)/bodyCopies),
	}
}

// read reads the whole body of r. The release function returns the memory to the budget.
func (b *bodyBudget) read(ctx context.Context, w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	limit := b.maximum
	if r.ContentLength > limit {
		return nil, nil, tooLarge(limit)
	}
	if r.ContentLength >= 0 {
		limit = r.ContentLength
	} else {
		limit = min(limit, max(1, b.total/unknownLengthPortion/bodyCopies))
	}
	charge := limit * bodyCopies
	if err := b.memory.Acquire(ctx, charge); err != nil {
		return nil, nil, &poplarwinch.Error{
			Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second, Cause: err,
			Message: "the memory for request bodies stayed occupied until the time limit", Remedy: "retry later",
		}
	}
	body, err = b.receive(ctx, w, r, limit)
	if err != nil {
		b.memory.Release(charge)
		return nil, nil, err
	}
	return body, func() { b.memory.Release(charge) }, nil
}

func (b *bodyBudget) receive(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	due := time.Now().Add((bodyGrace + clock.Millis(limit*1000/bodyMinimumRate)).Duration())
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(due) {
		due = deadline
	}
	if err := control.SetReadDeadline(due); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	body, err := readUpTo(r, limit)
	if err == nil {
		// The deadline must not expire later: net/http would take that for the caller's disconnect.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var maxBytes *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytes):
		return nil, tooLarge(limit)
	case time.Now().Before(due):
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Cause: err,
			Message: "the request body ended early", Remedy: "send the whole body",
		}
	default:
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindDeadlineExceeded, Outcome: poplarwinch.OutcomeNotRun, Cause: err,
			Message: "the request body did not arrive in time", Remedy: "send it faster or set a longer time limit",
		}
	}
}

func readUpTo(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
}

func tooLarge(limit int64) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindTooLarge, Outcome: poplarwinch.OutcomeNotRun,
		Message: fmt.Sprintf("the request body exceeds %d bytes", limit), Remedy: "send a shorter request with a Content-Length header",
	}
}

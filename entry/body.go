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
	// bodyCopies is the number of copies of a request body in memory: the received one and the one rewritten for the
	// engine.
	bodyCopies = 2
	// bodyReadGrace is the time for an upload on top of that given by minBodyRate.
	bodyReadGrace = 5 * clock.Second
	// minBodyRate is the lowest accepted upload rate in bytes per second. Without it slow uploads would occupy the body
	// memory until the deadline of their request.
	minBodyRate int64 = 128 << 10
	// reclaimPause is the time that a request has to return its memory after its connection was closed.
	reclaimPause = 5 * time.Millisecond
	// unknownLengthDivisor limits a body of unknown length to 1/unknownLengthDivisor of the body memory.
	unknownLengthDivisor int64 = 4
)

// bodyBudget bounds the memory for the request bodies of one instance.
type bodyBudget struct {
	memory  *semaphore.Weighted
	total   int64
	maxBody int64
	// reclaim ends the oldest incomplete upload and reports whether there was one; it may be nil.
	reclaim func() bool
}

func newBodyBudget(total, maxBody poplarwinch.Bytes) *bodyBudget {
	return &bodyBudget{
		memory: semaphore.NewWeighted(int64(total)), total: int64(total),
		maxBody: min(int64(maxBody), int64(total)/bodyCopies),
	}
}

// read reads the whole body of r. The returned release function gives the memory back to the budget.
func (b *bodyBudget) read(ctx context.Context, w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	limit := b.maxBody
	if r.ContentLength > limit {
		return nil, nil, tooLargeError(limit)
	}
	if r.ContentLength >= 0 {
		limit = r.ContentLength
	} else {
		limit = min(limit, max(1, b.total/unknownLengthDivisor/bodyCopies))
	}
	reserved := limit * bodyCopies
	if err := b.acquire(ctx, reserved); err != nil {
		return nil, nil, &poplarwinch.Error{
			Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second, Cause: err,
			Message: "the memory for request bodies was exhausted until the time limit", Remedy: "retry later",
		}
	}
	body, err = b.receive(ctx, w, r, limit)
	if err != nil {
		b.memory.Release(reserved)
		return nil, nil, err
	}
	return body, func() { b.memory.Release(reserved) }, nil
}

// acquire takes memory. It ends incomplete uploads while there is none left, and waits for other requests then.
func (b *bodyBudget) acquire(ctx context.Context, n int64) error {
	for b.reclaim != nil && !b.memory.TryAcquire(n) {
		if !b.reclaim() {
			return b.memory.Acquire(ctx, n)
		}
		time.Sleep(reclaimPause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if b.reclaim == nil {
		return b.memory.Acquire(ctx, n)
	}
	return nil
}

func (b *bodyBudget) receive(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	readDeadline := time.Now().Add((bodyReadGrace + clock.Millis(limit*1000/minBodyRate)).Duration())
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(readDeadline) {
		readDeadline = deadline
	}
	if err := control.SetReadDeadline(readDeadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	body, err := readUpTo(r, limit)
	if err == nil {
		// net/http would report an expired read deadline as a disconnect of the caller.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var maxBytesError *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesError):
		return nil, tooLargeError(limit)
	case time.Now().Before(readDeadline):
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Cause: err,
			Message: "the request body was truncated", Remedy: "send the whole body",
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

func tooLargeError(limit int64) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindTooLarge, Outcome: poplarwinch.OutcomeNotRun,
		Message: fmt.Sprintf("the request body exceeds %d bytes", limit), Remedy: "send a shorter request with a Content-Length header",
	}
}

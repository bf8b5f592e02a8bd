package peer

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch"
)

// call sends a request over a link. The first attempt gets half of the time: when it fails on a
// connection that may be stalled, a second one is made on a fresh connection, so that a stalled
// connection does not make a healthy peer look dead.
func call[Request, Reply any](ctx context.Context, e *Endpoint, l *link, client *connect.Client[Request, Reply], message *Request) (*Reply, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	deadline, _ := ctx.Deadline()
	half := time.Until(deadline) / 2
	used := l.transport.Load()
	first, cancelFirst := context.WithTimeout(ctx, half)
	reply, err := attempt(first, e, client, message)
	cancelFirst()
	if err == nil || !retryable(ctx, err) {
		return reply, callError(err)
	}
	l.renew(used)
	reply, err = attempt(ctx, e, client, message)
	return reply, callError(err)
}

func attempt[Request, Reply any](ctx context.Context, e *Endpoint, client *connect.Client[Request, Reply], message *Request) (*Reply, error) {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+e.secret)
	response, err := client.CallUnary(ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, callTimeout)
}

// retryable reports whether a fresh connection may help: not when the peer answered with an
// error of its own or refused the connection.
func retryable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) || connect.IsWireError(err) {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown, connect.CodeInternal:
		return true
	default:
		return false
	}
}

// callError turns an error of the protocol into an error kind.
func callError(err error) error {
	if err == nil {
		return nil
	}
	e := &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeUnknown, Cause: err,
		Message: "peer did not answer", Remedy: "check that the peer runs and can be reached",
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		e.Kind, e.Outcome = poplarwinch.KindUnauthorized, poplarwinch.OutcomeNotRun
		e.Message, e.Remedy = "peer does not accept the secret", "give all instances the same secret"
	case connect.CodeNotFound:
		e.Kind, e.Outcome = poplarwinch.KindNotFound, poplarwinch.OutcomeNotRun
		e.Message, e.Remedy = "peer does not have it", "ask another peer"
	case connect.CodeResourceExhausted:
		e.Kind, e.Outcome = poplarwinch.KindTooLarge, poplarwinch.OutcomeNotRun
		e.Message, e.Remedy = fmt.Sprintf("message exceeds %d bytes", messageLimit), "make the manifest smaller"
	case connect.CodeDeadlineExceeded:
		e.Kind = poplarwinch.KindDeadlineExceeded
	}
	return e
}

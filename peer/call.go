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

// call sends a request over a link. The first attempt may take half of the time until the deadline. If
// it fails in a way that a stalled connection could cause, call retries once on a new connection, so that
// a stalled connection does not make a healthy peer appear dead.
func call[Request, Reply any](ctx context.Context, e *Endpoint, l *link, client *connect.Client[Request, Reply], message *Request) (*Reply, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	deadline, _ := ctx.Deadline()
	firstTimeout := time.Until(deadline) / 2
	usedTransport := l.transport.Load()
	firstContext, cancelFirst := context.WithTimeout(ctx, firstTimeout)
	reply, err := callOnce(firstContext, e, client, message)
	cancelFirst()
	if err == nil || !retryable(ctx, err) {
		return reply, fromConnectError(err)
	}
	l.replaceTransport(usedTransport)
	reply, err = callOnce(ctx, e, client, message)
	return reply, fromConnectError(err)
}

func callOnce[Request, Reply any](ctx context.Context, e *Endpoint, client *connect.Client[Request, Reply], message *Request) (*Reply, error) {
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

// retryable reports whether a new connection may help. It cannot if the peer replied with an error or
// refused the connection.
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

// fromConnectError converts an error of a Connect call to a *poplarwinch.Error.
func fromConnectError(err error) error {
	if err == nil {
		return nil
	}
	e := &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeUnknown, Cause: err,
		Message: "call to peer failed", Remedy: "check that the peer runs and is reachable",
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		e.Kind, e.Outcome = poplarwinch.KindUnauthorized, poplarwinch.OutcomeNotRun
		e.Message, e.Remedy = "peer rejected the secret", "configure the same secret on all instances"
	case connect.CodeNotFound:
		e.Kind, e.Outcome = poplarwinch.KindNotFound, poplarwinch.OutcomeNotRun
		e.Message, e.Remedy = "peer does not have the manifest version", "ask another peer"
	case connect.CodeResourceExhausted:
		e.Kind, e.Outcome = poplarwinch.KindTooLarge, poplarwinch.OutcomeNotRun
		e.Message, e.Remedy = fmt.Sprintf("message exceeds the limit of %d bytes", messageLimit), "make the manifest smaller"
	case connect.CodeDeadlineExceeded:
		e.Kind = poplarwinch.KindDeadlineExceeded
	}
	return e
}

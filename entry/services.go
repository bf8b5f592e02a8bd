package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/claim"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/service"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// idempotencyHeader holds the key by which repeats of a non-repeatable call are recognized.
	idempotencyHeader = "Idempotency-Key"
	// settleTimeout bounds the table write that settles a claim or releases a suspect's permit.
	settleTimeout = 2 * time.Second
	// answerReserve is the part of the time limit that is reserved for writing the answer. It also covers what the caller
	// measures beyond the instance's own time: opening the connection, the way of the answer and late timers.
	answerReserve = 100 * time.Millisecond
	// minSettleTime is the least time for settling a claim, unless it is more than half of what remains.
	minSettleTime = 50 * time.Millisecond
)

// allowedMethods are the methods of calls of plain services. Others, such as CONNECT and TRACE, are rejected.
var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodPost, http.MethodPatch,
}

// serviceRun is the execution of a call of a plain service in one or more attempts.
type serviceRun struct {
	*exchange
	service    *manifest.Service
	call       service.Call
	avoid      []poplarwinch.UpstreamID
	mayHaveRun bool
}

func (s *Server) serveService(ctx context.Context, x *exchange) error {
	run, err := x.resolveService()
	if err != nil {
		return err
	}
	ctx, cancel, err := x.withDeadline(ctx, run.service.Timeout, x.index.Manifest.Limits.MaxTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	body, release, err := x.readBody(ctx)
	if err != nil {
		return err
	}
	defer release()
	run.call.Body = body
	if run.service.IsNonRepeatable(run.call.Method, run.decodedPath()) {
		return run.runAtMostOnce(ctx)
	}
	return run.proxy(ctx)
}

// resolveService returns the call that the request asks for.
func (x *exchange) resolveService() (*serviceRun, error) {
	name := poplarwinch.ServiceName(chi.URLParam(x.request, "service"))
	found, ok := x.index.Service(name)
	if !ok {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindUnknownService, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("service %q does not exist", name), Remedy: "use the name of a service of the manifest",
		}
	}
	if !x.customer.MayUseService(name) {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindForbidden, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("customer %s may not use service %q", x.customer.ID, name), Remedy: "ask the operators for access",
		}
	}
	if !slices.Contains(allowedMethods, x.request.Method) {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindMethodNotAllowed, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("method %q is not allowed", x.request.Method), Remedy: "use one of " + strings.Join(allowedMethods, ", "),
		}
	}
	target := strings.TrimPrefix(x.request.URL.EscapedPath(), "/services/"+url.PathEscape(string(name)))
	if target == "" {
		target = "/"
	}
	if err := checkPath(target); err != nil {
		return nil, err
	}
	if x.request.URL.RawQuery != "" {
		target += "?" + x.request.URL.RawQuery
	}
	header := x.request.Header.Clone()
	header.Del("Authorization")
	header.Del(timeoutHeader)
	header.Set(requestIDHeader, string(x.id))
	header.Set("Customer", string(x.customer.ID))
	call := service.Call{Method: x.request.Method, Path: target, Header: header, Reserve: x.takeAnswer}
	return &serviceRun{exchange: x, service: found, call: call}, nil
}

// checkPath rejects paths that a service could interpret differently from the manifest's rules for non-repeatable
// calls.
func checkPath(escaped string) error {
	decoded, err := url.PathUnescape(escaped)
	cleaned := path.Clean(decoded)
	if err == nil && (decoded == cleaned || decoded == cleaned+"/") && !strings.Contains(decoded, "\\") &&
		!strings.Contains(strings.ToLower(escaped), "%2f") {
		return nil
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Cause: err,
		Message: "the path has empty, relative or encoded segments", Remedy: "send the path in its plain form",
	}
}

// decodedPath returns the decoded path of the call, without its query.
func (r *serviceRun) decodedPath() string {
	escaped, _, _ := strings.Cut(r.call.Path, "?")
	decoded, _ := url.PathUnescape(escaped)
	return decoded
}

// proxy sends a call that is not declared non-repeatable. If it may have run, it is retried only if HTTP defines its
// method as idempotent.
func (r *serviceRun) proxy(ctx context.Context) error {
	idempotent := r.call.Method != http.MethodPost && r.call.Method != http.MethodPatch
	for {
		answer, err := r.send(ctx)
		if err == nil {
			return r.answer(answer)
		}
		repeatable := !r.mayHaveRun || idempotent
		if !repeatable || ctx.Err() != nil || r.attempts >= maxAttempts || r.attempts == 0 || !r.server.retryBudget.Take() {
			return r.callError(ctx, err)
		}
		r.log.WithField("upstream", string(r.upstreamID)).WithField("attempt", r.attempts).WithError(err).Warn("attempt failed; trying another server")
	}
}

// runAtMostOnce sends a non-repeatable call. With an idempotency key the claim in the table makes repeats safe; without
// one the call is sent at most once for this request.
func (r *serviceRun) runAtMostOnce(ctx context.Context) error {
	key := r.request.Header.Get(idempotencyHeader)
	if key == "" {
		if !r.service.AtMostOnceWithoutKey {
			return &poplarwinch.Error{
				Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Param: idempotencyHeader,
				Message: "the call is non-repeatable and has no idempotency key",
				Remedy:  "send " + idempotencyHeader + " with a key that is unique for each call",
			}
		}
		return r.runUnclaimed(ctx)
	}
	ticket, recorded, err := r.server.claims.Begin(ctx, claim.Call{
		Customer: r.customer.ID, Key: key, Deadline: clock.FromTime(r.deadline),
		Fingerprint: claim.Fingerprint(r.call.Method, string(r.service.Name)+r.call.Path, r.call.Body),
	})
	if err != nil {
		return err
	}
	if recorded != nil {
		r.writer.Header().Set("Replayed", "true")
		return r.answer(&service.Answer{Status: recorded.Answer.Status, Header: recorded.Answer.Header, Body: recorded.Answer.Body})
	}
	return r.runClaimed(ctx, ticket)
}

// runClaimed sends a claimed call and settles the claim. The call continues if the caller disconnects: its answer is
// recorded for a repeat, which would otherwise be told that the outcome is unknown.
func (r *serviceRun) runClaimed(ctx context.Context, ticket *claim.Ticket) error {
	ctx, cancelCall := context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	defer cancelCall()
	answer, err := r.sendAtMostOnce(ctx)
	settleContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.remainingSettleTime())
	defer cancel()
	var settleError error
	switch {
	case err == nil:
		settleError = ticket.Done(settleContext, claim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body})
	case r.mayHaveRun:
		settleError = ticket.Unknown(settleContext)
	default:
		settleError = ticket.NotRun(settleContext)
	}
	if settleError != nil {
		r.log.WithError(settleError).Warn("claim not settled yet; the write is repeated in the background")
	}
	if err != nil {
		return r.callError(ctx, err)
	}
	return r.answer(answer)
}

// remainingSettleTime returns how long the answer waits until the claim is settled. Afterwards the write continues in
// the background, so that a slow table does not delay the answer beyond the time limit.
func (r *serviceRun) remainingSettleTime() time.Duration {
	return settleTime(time.Until(r.deadline))
}

// settleTime returns how long an answer may wait for its claim when left remains until the deadline.
func settleTime(left time.Duration) time.Duration {
	return max(min(minSettleTime, left/2), min(settleTimeout, left-answerReserve), 0)
}

// runUnclaimed sends the call without a claim.
func (r *serviceRun) runUnclaimed(ctx context.Context) error {
	answer, err := r.sendAtMostOnce(ctx)
	if err != nil {
		return r.callError(ctx, err)
	}
	return r.answer(answer)
}

// sendAtMostOnce tries servers until one may have received the call.
func (r *serviceRun) sendAtMostOnce(ctx context.Context) (*service.Answer, error) {
	for {
		answer, err := r.send(ctx)
		if err == nil || r.mayHaveRun || ctx.Err() != nil || r.attempts >= maxAttempts || r.attempts == 0 {
			return answer, err
		}
		if !r.server.retryBudget.Take() {
			return nil, err
		}
		r.log.WithField("upstream", string(r.upstreamID)).WithError(err).Warn("call not run; trying another server")
	}
}

// send makes one attempt on one server.
func (r *serviceRun) send(ctx context.Context) (*service.Answer, error) {
	s := r.server
	decision, err := s.router.Server(s.upstreams.Snapshot(), r.service.Name, r.avoid)
	if err != nil {
		return nil, err
	}
	r.attempts++
	r.releaseAnswer()
	r.upstreamID = decision.Upstream.ID
	r.logDecision(&decision)
	ticket := decision.Upstream.Begin(upstream.Work{})
	defer ticket.End()
	answer, err := s.services.Do(ctx, decision.Upstream.Address, r.call)
	var notSent *service.NotSentError
	var refused *service.RefusedError
	if err != nil {
		r.avoid = append(r.avoid, decision.Upstream.ID)
		if !errors.As(err, &notSent) && !errors.As(err, &refused) {
			r.mayHaveRun = true
		}
	}
	return answer, err
}

func (r *serviceRun) answer(a *service.Answer) error {
	h := r.writer.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(requestIDHeader, string(r.id))
	if r.call.Method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		return r.writeEmpty(a.Status)
	}
	return r.writeComplete(a.Status, "", a.Body)
}

// callError returns the caller's error for a call without a complete answer.
func (r *serviceRun) callError(ctx context.Context, cause error) error {
	var classified *poplarwinch.Error
	if errors.As(cause, &classified) {
		if r.mayHaveRun && classified.Outcome == poplarwinch.OutcomeNotRun {
			classified.Outcome = poplarwinch.OutcomeUnknown
		}
		return classified
	}
	outcome, remedy := poplarwinch.OutcomeUnknown, "check with the service whether the call ran before sending it again with another key"
	if !r.mayHaveRun {
		outcome, remedy = poplarwinch.OutcomeNotRun, "repeat the call later with the same key"
	}
	kind, message := poplarwinch.KindUpstreamFailed, fmt.Sprintf("no complete answer from service %s in %d attempts", r.service.Name, r.attempts)
	if ctx.Err() != nil {
		kind, message = poplarwinch.KindDeadlineExceeded, "no complete answer within the time limit"
	}
	return &poplarwinch.Error{Kind: kind, Outcome: outcome, Message: message, Remedy: remedy, Cause: cause}
}

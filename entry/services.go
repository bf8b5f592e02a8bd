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
	idempotencyHeader = "Idempotency-Key"
	// settleTimeout bounds the recording of the end of a call or of a suspect's run.
	settleTimeout = 2 * time.Second
	// settleMinimum is the part of the time limit that is kept for writing the answer, and the time that the record of a
	// call's end gets when the limit has passed.
	settleMinimum = 50 * time.Millisecond
)

// methods are the methods that plain services may be called with. Others, such as CONNECT and TRACE, have no place here.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodPost, http.MethodPatch,
}

// serviceRun is the execution of one call of a plain service.
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
	ctx, cancel, err := x.limit(ctx, run.service.Timeout, x.index.Manifest.Limits.MaxTimeout)
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
	if run.service.IsNonRepeatable(run.call.Method, run.target()) {
		return run.once(ctx)
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
	if !slices.Contains(methods, x.request.Method) {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindMethodNotAllowed, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("method %q is not allowed", x.request.Method), Remedy: "use one of " + strings.Join(methods, ", "),
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
	call := service.Call{Method: x.request.Method, Path: target, Header: header}
	return &serviceRun{exchange: x, service: found, call: call}, nil
}

// checkPath rejects paths that a service could read as another path than the manifest's rules do.
func checkPath(escaped string) error {
	plain, err := url.PathUnescape(escaped)
	clean := path.Clean(plain)
	if err == nil && (plain == clean || plain == clean+"/") && !strings.Contains(plain, "\\") &&
		!strings.Contains(strings.ToLower(escaped), "%2f") {
		return nil
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Cause: err,
		Message: "the path has empty, relative or encoded segments", Remedy: "send the path in its plain form",
	}
}

// target returns the decoded path of the call without its query.
func (r *serviceRun) target() string {
	escaped, _, _ := strings.Cut(r.call.Path, "?")
	plain, _ := url.PathUnescape(escaped)
	return plain
}

// proxy sends a call that may be repeated as HTTP defines it.
func (r *serviceRun) proxy(ctx context.Context) error {
	idempotent := r.call.Method != http.MethodPost && r.call.Method != http.MethodPatch
	r.call.Repeatable = idempotent
	for {
		answer, err := r.send(ctx)
		if err == nil {
			return r.answer(answer)
		}
		again := !r.mayHaveRun || idempotent
		if !again || ctx.Err() != nil || r.attempts >= maxAttempts || r.attempts == 0 || !r.server.retries.Take() {
			return r.failed(ctx, err)
		}
		r.log.WithField("upstream", string(r.upstream)).WithField("attempt", r.attempts).WithError(err).Warn("attempt failed; trying another server")
	}
}

// once sends a call that must run at most once. With a key, the claim in the table makes repeats safe; without one, the
// call is sent at most once for this request.
func (r *serviceRun) once(ctx context.Context) error {
	key := r.request.Header.Get(idempotencyHeader)
	if key == "" {
		if !r.service.AtMostOnceWithoutKey {
			return &poplarwinch.Error{
				Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Param: idempotencyHeader,
				Message: "this call must not be repeated and has no idempotency key",
				Remedy:  "send " + idempotencyHeader + " with a key that is unique for each call",
			}
		}
		return r.single(ctx)
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
	return r.claimed(ctx, ticket)
}

// claimed sends the call that the ticket permits and settles the claim. A caller that disconnects does not end the call:
// its answer is recorded for the repeat, which would otherwise be told that the outcome is unknown.
func (r *serviceRun) claimed(ctx context.Context, ticket *claim.Ticket) error {
	ctx, cancelCall := context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	defer cancelCall()
	answer, err := r.sendOnce(ctx)
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.settleTime())
	defer cancel()
	var settled error
	switch {
	case err == nil:
		settled = ticket.Done(settle, claim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body})
	case r.mayHaveRun:
		settled = ticket.Unknown(settle)
	default:
		settled = ticket.NotRun(settle)
	}
	if settled != nil {
		r.log.WithError(settled).Warn("claim not settled yet; the write is repeated in the background")
	}
	if err != nil {
		return r.failed(ctx, err)
	}
	return r.answer(answer)
}

// settleTime returns how long the answer may wait for the record of the call's end. Afterwards the write goes on in the
// background; the answer must not be late because the table is slow.
func (r *serviceRun) settleTime() time.Duration {
	return max(settleMinimum, min(settleTimeout, time.Until(r.deadline)-settleMinimum))
}

// single sends the call once without a claim.
func (r *serviceRun) single(ctx context.Context) error {
	answer, err := r.sendOnce(ctx)
	if err != nil {
		return r.failed(ctx, err)
	}
	return r.answer(answer)
}

// sendOnce tries servers until one may have received the call.
func (r *serviceRun) sendOnce(ctx context.Context) (*service.Answer, error) {
	for {
		answer, err := r.send(ctx)
		if err == nil || r.mayHaveRun || ctx.Err() != nil || r.attempts >= maxAttempts || r.attempts == 0 {
			return answer, err
		}
		if !r.server.retries.Take() {
			return nil, err
		}
		r.log.WithField("upstream", string(r.upstream)).WithError(err).Warn("call not run; trying another server")
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
	r.upstream = decision.Upstream.ID
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
	return r.writeWhole(a.Status, "", a.Body)
}

// failed returns the caller's error for a call without an answer.
func (r *serviceRun) failed(ctx context.Context, cause error) error {
	var known *poplarwinch.Error
	if errors.As(cause, &known) {
		if r.mayHaveRun && known.Outcome == poplarwinch.OutcomeNotRun {
			known.Outcome = poplarwinch.OutcomeUnknown
		}
		return known
	}
	outcome, remedy := poplarwinch.OutcomeUnknown, "find out from the service whether the call ran before a new call with another key"
	if !r.mayHaveRun {
		outcome, remedy = poplarwinch.OutcomeNotRun, "repeat the call later with the same key"
	}
	kind, message := poplarwinch.KindUpstreamFailed, fmt.Sprintf("no complete answer from service %s in %d attempts", r.service.Name, r.attempts)
	if ctx.Err() != nil {
		kind, message = poplarwinch.KindDeadlineExceeded, "no complete answer within the time limit"
	}
	return &poplarwinch.Error{Kind: kind, Outcome: outcome, Message: message, Remedy: remedy, Cause: cause}
}

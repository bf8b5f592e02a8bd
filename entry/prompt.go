package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/admission"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/completion"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/routing"
)

// promptRun is the execution of a prompt in one or more attempts.
type promptRun struct {
	*exchange
	completion  *completion.Request
	model       *manifest.Model
	prompt      routing.Prompt
	fingerprint quarantine.Fingerprint
	// suspects are the fingerprints that are blamed if an engine crashes.
	suspects quarantine.PromptSuspects
	// trial says that the prompt may run once in spite of a block of its suspects.
	trial bool
	sink  sink
	// mayHaveRun is set once an engine may have run a part of the prompt. The outcome can no longer be not-run then.
	mayHaveRun bool
	// rejectedForMemory is set once an engine rejected the prompt for lack of KV memory. The prompt needs a group of
	// engines then.
	rejectedForMemory bool
	// engineCrashed says whether the engine's process ended during the last attempt. All prompts of that engine are
	// retried then, which must not exhaust the retry budget.
	engineCrashed bool
	// resumed is set if the caller continues the stream of an earlier request, which no other engine can take over.
	resumed bool
}

func (s *Server) serveChat(ctx context.Context, x *exchange) error {
	return s.servePrompt(ctx, x, completion.FormatChat)
}

func (s *Server) serveText(ctx context.Context, x *exchange) error {
	return s.servePrompt(ctx, x, completion.FormatText)
}

func (s *Server) servePrompt(ctx context.Context, x *exchange, format completion.Format) error {
	limits := x.index.Manifest.Limits
	ctx, cancel, err := x.withDeadline(ctx, limits.DefaultTimeout, limits.MaxTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	body, release, err := x.readBody(ctx)
	if err != nil {
		return err
	}
	defer release()
	p, err := x.parsePrompt(format, body)
	if err != nil {
		return err
	}
	p.sink = newSink(p)
	return p.admitAndRun(ctx)
}

// parsePrompt parses the request, resolves its model and adapter, and checks its estimated size.
func (x *exchange) parsePrompt(format completion.Format, body []byte) (*promptRun, error) {
	request, err := completion.Parse(format, body)
	if err != nil {
		return nil, err
	}
	model, err := x.resolveModel(request)
	if err != nil {
		return nil, err
	}
	estimate := x.server.tokenEstimator.estimate(model, request.PromptBytes)
	if limit := min(x.index.Manifest.Limits.MaxPromptTokens, model.ContextTokens); estimate > limit+limit/tokenLimitSlackDivisor {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindTooLarge, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("the prompt has about %d tokens; model %s takes at most %d", estimate, model.Name, limit),
			Remedy:  "send a shorter prompt",
		}
	}
	p := &promptRun{
		exchange: x, completion: request, model: model,
		fingerprint: quarantine.FingerprintOf(x.customer.ID, request.Model, request.Body),
		prompt: routing.Prompt{
			RequestID: x.id, Customer: x.customer.ID, Model: request.Model, Adapter: request.Adapter,
			Tokens: estimate, MaxNewTokens: request.MaxTokens, Blocks: request.Blocks, Class: routing.ClassOf(estimate),
		},
	}
	p.suspects = quarantine.NewPromptSuspects(p.fingerprint, request.SharedParts)
	if n := request.UnidentifiedParts; n > 0 {
		x.log.WithField("messages", len(request.SharedParts)+n).WithField("unidentified", n).
			Warn("prompt has too many messages; a crash can't be attributed to the last ones")
	}
	p.prompt.Key = binary.BigEndian.Uint64(p.fingerprint[:])
	x.class = string(p.prompt.Class)
	return p, nil
}

// tokenLimitSlackDivisor allows for the error of the token estimate: a prompt is rejected only if its estimate exceeds
// the limit by more than limit/tokenLimitSlackDivisor.
const tokenLimitSlackDivisor = 10

func (x *exchange) resolveModel(r *completion.Request) (*manifest.Model, error) {
	model, ok := x.index.Model(r.Model)
	if !ok {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindUnknownModel, Outcome: poplarwinch.OutcomeNotRun, Param: "model",
			Message: fmt.Sprintf("model %q does not exist", r.Model), Remedy: "name a model of GET /v1/models",
		}
	}
	if !x.customer.MayUseModel(r.Model) {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindForbidden, Outcome: poplarwinch.OutcomeNotRun, Param: "model",
			Message: fmt.Sprintf("customer %s may not use model %q", x.customer.ID, r.Model), Remedy: "ask the operators for access",
		}
	}
	if r.Adapter == "" {
		return model, nil
	}
	if _, ok := model.Adapter(r.Adapter); !ok {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindUnknownAdapter, Outcome: poplarwinch.OutcomeNotRun, Param: "model",
			Message: fmt.Sprintf("model %q has no adapter %q", r.Model, r.Adapter), Remedy: "name an adapter of GET /v1/models",
		}
	}
	return model, nil
}

// admitAndRun waits for admission and runs the prompt.
func (p *promptRun) admitAndRun(ctx context.Context) error {
	if err := p.rejected(); err != nil {
		return err
	}
	release, err := p.server.admission.Admit(ctx, admission.Request{
		Prompt: &p.prompt, Deadline: clock.FromTime(p.deadline), Weight: p.customer.Weight,
		MaxRequests: p.customer.MaxRequestsInFlight, MaxTokens: p.customer.MaxTokensInFlight,
	})
	if err != nil {
		return err
	}
	defer release()
	p.server.retryBudget.Earn()
	return p.runWithRetries(ctx)
}

// rejected returns the error for a prompt that must not run because it, or a part of it, has crashed engines, and nil for others.
func (p *promptRun) rejected() error {
	if p.server.quarantine.Check(p.fingerprint) == quarantine.VerdictReject {
		return quarantine.Rejected()
	}
	if p.trial && !p.mayHaveRun {
		return nil
	}
	ruling := p.server.quarantine.Rule(p.suspects)
	if p.trial = ruling.Trial; ruling.Blocked {
		return quarantine.BlockedPart(ruling.Part)
	}
	return nil
}

// recordUsage passes the engine's token count to the token estimator. A resumed stream is left out, since the size of
// its prompt is unknown here.
func (p *promptRun) recordUsage(usage completion.Usage) {
	if p.resumed {
		return
	}
	p.server.tokenEstimator.observe(p.model, p.completion.PromptBytes, usage.PromptTokens)
}

// sinceStart returns the time since the request arrived.
func (x *exchange) sinceStart() clock.Millis { return clock.FromDuration(time.Since(x.started)) }

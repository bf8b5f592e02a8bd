package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// lateMargin is the time allowed beyond the timeout for the deadline-exceeded reply to reach the caller.
const lateMargin = 250 * time.Millisecond

// sendPrompt sends one prompt and records its result.
func (p *phase) sendPrompt(ctx context.Context, a arrival, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(p.timeout+p.grace))
	defer cancel()
	o := outcome{ID: fmt.Sprintf("load-%d-%s-%s-p%d", p.seed, p.started, p.name, a.number), Work: "prompt", Class: classes[a.class].name}
	r := p.prompt(ctx, a, due, &o)
	r = p.finish(ctx, r, due)
	p.figures.addPrompt(a, r, p.limit)
	p.outcomes.add(o, r, due)
}

// finish sets the times of a result, and marks a failed one as lost if ctx has ended.
func (p *phase) finish(ctx context.Context, r result, due time.Time) result {
	r.elapsed = time.Since(due)
	if ctx.Err() != nil && r.status == statusFailed {
		r.status = statusLost
	}
	r.late = r.status != statusLost && r.elapsed > p.timeout+lateMargin
	return r
}

func (p *phase) prompt(ctx context.Context, a arrival, due time.Time, o *outcome) result {
	text := p.corpus.prompt(a, p.name)
	body, size := text.body(p.model, p.maxTokens, a.stream)
	response, err := p.keepAliveClient.do(ctx, func(ctx context.Context, entry string) (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/completions", body())
		if err != nil {
			return nil, err
		}
		request.ContentLength = size
		request.GetBody = func() (io.ReadCloser, error) { return body(), nil }
		request.Header.Set("Content-Type", "application/json")
		p.setHeaders(request, a.key)
		request.Header.Set("Request-Id", o.ID)
		o.Entry = entry
		return request, nil
	})
	if err != nil {
		return transportFailure(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errorReply(response)
	}
	if a.stream {
		return p.readStream(ctx, response, a, text, due)
	}
	return p.readWhole(response.Body, text)
}

func (p *phase) setHeaders(request *http.Request, key int) {
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(p.timeout.Milliseconds(), 10))
	if p.keys[key] != "" {
		request.Header.Set("Authorization", "Bearer "+p.keys[key])
	}
}

func (p *phase) readWhole(body io.Reader, text prompt) result {
	data, err := io.ReadAll(io.LimitReader(body, replyLimit))
	if err != nil {
		return transportFailure(err)
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) == 0 {
		return result{status: statusPartial}
	}
	return p.checkAnswer(text, c.text())
}

func (p *phase) checkAnswer(text prompt, got string) result {
	switch verify(text, p.maxTokens, got) {
	case verdictComplete:
		return result{status: statusCompleted}
	case verdictPartial:
		return result{status: statusPartial}
	default:
		return result{status: statusForeign}
	}
}

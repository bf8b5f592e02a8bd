package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callReply is the reply to one copy of a call.
type callReply struct {
	result result
	body   string
}

// sendCall sends one non-repeatable call and, if scheduled, its repeat with the same key.
func (p *phase) sendCall(ctx context.Context, c callArrival, due time.Time) {
	key := fmt.Sprintf("load-%d-%s-%s-%d", p.seed, p.started, p.name, c.number)
	copies := 1
	if c.repeat {
		copies = 2
	}
	replies := make([]callReply, copies)
	var wait sync.WaitGroup
	for i := range copies {
		if i > 0 && !c.concurrent {
			wait.Wait()
		}
		wait.Go(func() {
			start := due
			if i > 0 {
				time.Sleep(c.delay)
				start = time.Now()
			}
			replies[i] = p.call(ctx, c, key, start, i)
		})
	}
	wait.Wait()
	if copies > 1 && replies[0].result.status == statusCompleted && replies[1].result.status == statusCompleted &&
		replies[0].body != replies[1].body {
		replies[1].result = result{status: statusForeign, elapsed: replies[1].result.elapsed}
	}
	for _, r := range replies {
		p.figures.addCall(r.result)
	}
	p.ledger.add(key, replies)
}

// call sends one copy of a call on a new connection, because the transport automatically retries
// a request with an Idempotency-Key when a reused connection breaks.
func (p *phase) call(ctx context.Context, c callArrival, key string, start time.Time, copyIndex int) callReply {
	ctx, cancel := context.WithDeadline(ctx, start.Add(p.timeout+p.grace))
	defer cancel()
	o := outcome{ID: fmt.Sprintf("%s-%d", key, copyIndex), Work: "call", Key: key}
	var body string
	r := func() result {
		response, err := p.freshClient.do(ctx, func(ctx context.Context, entry string) (*http.Request, error) {
			content := fmt.Sprintf(`{"key":%q,"number":%d}`, key, c.number)
			request, err := http.NewRequestWithContext(ctx, p.callMethod, entry+"/services/"+p.service+p.callPath, strings.NewReader(content))
			if err != nil {
				return nil, err
			}
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("Idempotency-Key", key)
			p.setHeaders(request, c.key)
			request.Header.Set("Request-Id", o.ID)
			o.Entry = entry
			return request, nil
		})
		if err != nil {
			return transportFailure(err)
		}
		defer response.Body.Close()
		if response.StatusCode >= http.StatusMultipleChoices {
			return errorReply(response)
		}
		data, err := io.ReadAll(io.LimitReader(response.Body, replyLimit))
		if err != nil {
			return transportFailure(err)
		}
		body = string(data)
		return result{status: statusCompleted}
	}()
	r = p.finish(ctx, r, start)
	p.outcomes.add(o, r, start)
	return callReply{result: r, body: body}
}

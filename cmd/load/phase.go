package main

import (
	"context"
	"sync"
	"time"
)

// phase is one run of the arrival schedule, with its settings and results.
type phase struct {
	name, started, model         string
	seed                         uint64
	length                       time.Duration
	timeout, grace, limit        time.Duration
	maxTokens                    int
	shortOnly                    bool // send only prompts of the shortest class
	resume                       bool // resume broken streams
	keys                         []string
	corpus                       *corpus
	keepAliveClient, freshClient *client
	prompts                      *arrivals
	calls                        *callArrivals // nil without a service
	service                      string
	callMethod, callPath         string
	records                      []string
	slots                        chan struct{}
	ledger                       ledger
	figures                      *figures
	outcomes                     *outcomes
}

// run sends the scheduled requests and waits for all of them. After ctx ends, no new request is sent;
// those in flight run to their end.
func (p *phase) run(ctx context.Context) {
	var wait sync.WaitGroup
	requestContext := context.WithoutCancel(ctx)
	start := time.Now()
	wait.Go(func() { p.runPrompts(ctx, requestContext, start, &wait) })
	if p.calls != nil {
		wait.Go(func() { p.runCalls(ctx, requestContext, start, &wait) })
	}
	wait.Wait()
	if len(p.records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(requestContext, 30*time.Second)
	defer cancel()
	executions, err := fetchExecutions(ctx, p.records)
	if err != nil {
		p.figures.recordError = err.Error()
		return
	}
	p.ledger.compare(executions, p.figures)
}

func (p *phase) runPrompts(ctx, requestContext context.Context, start time.Time, wait *sync.WaitGroup) {
	for {
		a := p.prompts.next()
		if a.due >= p.length {
			return
		}
		if p.shortOnly && a.class != 0 {
			continue
		}
		due := start.Add(a.due)
		if !sleepUntil(ctx, due) {
			return
		}
		p.start(wait, &p.figures.prompts, func() { p.sendPrompt(requestContext, a, due) })
	}
}

func (p *phase) runCalls(ctx, requestContext context.Context, start time.Time, wait *sync.WaitGroup) {
	for {
		c := p.calls.next()
		if c.due >= p.length {
			return
		}
		due := start.Add(c.due)
		if !sleepUntil(ctx, due) {
			return
		}
		p.start(wait, &p.figures.calls, func() { p.sendCall(requestContext, c, due) })
	}
}

// start runs send in a goroutine, or counts the request as unsent if too many requests are in flight.
func (p *phase) start(wait *sync.WaitGroup, c *counts, send func()) {
	select {
	case p.slots <- struct{}{}:
	default:
		p.figures.addUnsent(c)
		return
	}
	wait.Go(func() {
		defer func() { <-p.slots }()
		send()
	})
}

// sleepUntil waits until due. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

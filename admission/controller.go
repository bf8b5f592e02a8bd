// Package admission decides which prompts may run now, which wait and which are rejected early.
package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/invariant"
	"github.com/poplarwinch/poplarwinch/internal/window"
	"github.com/poplarwinch/poplarwinch/routing"
)

const (
	// The first waiter repeats its prediction at this interval.
	pollInterval clock.Millis = 20
	// Under saturation an instance sends at most this share of its part of the engines' rate, so that several
	// instances that decide on the same late load reports don't overfill the engines together.
	paceFactorPercent = 125
	// Unused pace is kept for this long.
	paceBurst clock.Millis = 100
	// The span over which the rate of admissions from the queue is measured.
	drainSpan = 2 * clock.Second
	// Bounds of the Retry-After estimate.
	minRetryAfter = clock.Second
	maxRetryAfter = clock.Minute
)

// Controller admits prompts. While the predicted wait is short it takes no lock.
type Controller struct {
	clock     *clock.Clock
	forecast  func(p *routing.Prompt) (routing.Forecast, bool)
	threshold clock.Millis
	limit     int
	instances func() int
	violated  invariant.Report

	total     account
	customers sync.Map // poplarwinch.CustomerID to *account
	waiting   atomic.Int64
	admitted  *window.Counter

	mutex   sync.Mutex
	queue   queue
	pace    float64
	pacedAt clock.Millis
}

// New returns a controller; WithForecast is required.
func New(opts ...Option) *Controller {
	c := &Controller{
		clock: clock.System(), threshold: 500, limit: 1024, violated: invariant.Log,
		instances: func() int { return 1 }, admitted: window.New(100, 32),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// InFlight returns the admitted requests and tokens that have not been released.
func (c *Controller) InFlight() (requests, tokens int64) { return c.total.inFlight() }

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int { return int(c.waiting.Load()) }

// Admit returns once the request may be sent, or with an *poplarwinch.Error whose outcome is not-run. The wait ends
// with ctx. The caller calls release when the request has ended, and sends the request right after Admit returned.
func (c *Controller) Admit(ctx context.Context, r Request) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, ended(err)
	}
	account := c.account(&r)
	if !account.add(r.cost(), int64(r.MaxRequests), int64(r.MaxTokens)) {
		return nil, overQuota(&r)
	}
	if err := c.wait(ctx, &r); err != nil {
		c.remove(account, &r)
		return nil, err
	}
	c.total.add(r.cost(), 0, 0)
	var once atomic.Bool
	return func() {
		if once.CompareAndSwap(false, true) {
			c.remove(account, &r)
			if !c.total.remove(r.cost()) {
				c.violated("admitted-tokens-add-up", "total after release of "+string(r.Prompt.RequestID))
			}
		}
	}, nil
}

func (c *Controller) account(r *Request) *account {
	if a, ok := c.customers.Load(r.Prompt.Customer); ok {
		return a.(*account)
	}
	a, _ := c.customers.LoadOrStore(r.Prompt.Customer, &account{})
	return a.(*account)
}

func (c *Controller) remove(a *account, r *Request) {
	if !a.remove(r.cost()) {
		c.violated("admitted-tokens-add-up", fmt.Sprintf("customer %s after release of %s", r.Prompt.Customer, r.Prompt.RequestID))
	}
}

// wait returns nil once the request may be sent.
func (c *Controller) wait(ctx context.Context, r *Request) error {
	f, ok := c.forecast(r.Prompt)
	if !ok {
		return nil
	}
	now := c.clock.Now()
	if late := now + f.TimeToFirstToken - r.Deadline; late > 0 {
		return overloaded(f.TimeToFirstToken, late)
	}
	if c.waiting.Load() == 0 && f.Wait <= c.threshold {
		c.admitted.Add(now, r.cost())
		return nil
	}
	w := &waiter{request: r, wake: make(chan struct{}, 1)}
	if err := c.enqueue(w, f); err != nil {
		return err
	}
	return c.await(ctx, w)
}

// enqueue puts w into the queue or returns the error of its rejection.
func (c *Controller) enqueue(w *waiter, f routing.Forecast) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	if len(c.queue.waiters) >= c.limit {
		v := c.queue.victim(w.request.Prompt.Class.Priority())
		if v == nil {
			wait := c.drain(c.queue.cost, f)
			return overloaded(wait, wait)
		}
		c.leave(v, overloaded(c.drain(c.queue.cost, f), c.drain(c.queue.cost, f)))
	}
	c.queue.add(w)
	c.waiting.Store(int64(len(c.queue.waiters)))
	predicted := f.TimeToFirstToken + c.drain(c.queue.ahead(w), f)
	if late := now + predicted - w.request.Deadline; late > 0 {
		c.leave(w, nil)
		return overloaded(predicted, late)
	}
	return nil
}

// drain estimates how long the queue takes to admit cost.
func (c *Controller) drain(cost int64, f routing.Forecast) clock.Millis {
	rate := max(c.admitted.Sum(c.clock.Now(), drainSpan)*1000/int64(drainSpan), f.TokensPerSecond/int64(max(1, c.instances())), 1)
	return clock.Millis(cost * 1000 / rate)
}

// leave removes w from the queue with the error that its caller gets. The caller holds the lock.
func (c *Controller) leave(w *waiter, err error) {
	c.queue.remove(w)
	w.done, w.err = true, err
	c.waiting.Store(int64(len(c.queue.waiters)))
	w.signal()
	if head := c.queue.head(); head != nil {
		head.signal()
	}
}

// await waits until w left the queue or ctx ends.
func (c *Controller) await(ctx context.Context, w *waiter) error {
	for {
		head, err := c.dispatch(w)
		if head == nil {
			return err
		}
		var poll <-chan struct{}
		stop := func() {}
		if head == w {
			poll, stop = c.clock.After(pollInterval)
		}
		select {
		case <-w.wake:
		case <-poll:
		case <-ctx.Done():
			stop()
			c.mutex.Lock()
			defer c.mutex.Unlock()
			if !w.done {
				c.leave(w, ended(ctx.Err()))
			}
			return w.err
		}
		stop()
	}
}

// dispatch admits waiters while the predicted wait allows it. It returns the head of the queue, or nil and w's result
// when w has left the queue.
func (c *Controller) dispatch(w *waiter) (*waiter, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for head := c.queue.head(); head != nil && !w.done; head = c.queue.head() {
		now := c.clock.Now()
		f, ok := c.forecast(head.request.Prompt)
		if late := now + f.TimeToFirstToken - head.request.Deadline; ok && late > 0 {
			c.leave(head, overloaded(f.TimeToFirstToken, late))
			continue
		}
		if ok && (f.Wait > c.threshold || !c.paced(now, head.request.cost(), f)) {
			return head, nil
		}
		c.admitted.Add(now, head.request.cost())
		c.queue.finishHead()
		head.done = true
		c.waiting.Store(int64(len(c.queue.waiters)))
		head.signal()
		if next := c.queue.head(); next != nil {
			next.signal()
		}
	}
	return nil, w.err
}

// paced takes cost from the instance's part of the engines' rate and reports whether there was any left. One request
// may overdraw, and the next ones then wait for it.
func (c *Controller) paced(now clock.Millis, cost int64, f routing.Forecast) bool {
	rate := float64(f.TokensPerSecond) * paceFactorPercent / 100 / float64(max(1, c.instances())) / 1000
	c.pace = min(c.pace+rate*float64(now-c.pacedAt), rate*float64(paceBurst))
	c.pacedAt = now
	if c.pace < 0 {
		return false
	}
	c.pace -= float64(cost)
	return true
}

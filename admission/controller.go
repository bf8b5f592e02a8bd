// Package admission implements admission control for prompts: it admits them, queues them or rejects them early. It also
// contains the retry budgets.
package admission

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/invariant"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// pollInterval is the interval at which the head of each queue repeats its forecast.
	pollInterval clock.Millis = 20
	// sweepInterval is the shortest time between two checks of all waiters of a queue against their deadlines.
	sweepInterval clock.Millis = 100
	// minRetryAfter is the smallest Retry-After hint.
	minRetryAfter = clock.Second
	// maxRetryAfter is the largest Retry-After hint.
	maxRetryAfter = clock.Minute
)

// thresholdFactors are the multiples of the threshold at which prompts of each priority queue. Medium and long prompts
// have larger ones because their own prefill takes longer.
var thresholdFactors = [upstream.Priorities]clock.Millis{1, 2, 4}

// Controller performs admission control for prompts. It takes no lock for requests that need not queue.
type Controller struct {
	clock      *clock.Clock
	forecast   func(p *routing.Prompt) (routing.Forecast, bool)
	threshold  clock.Millis
	queueLimit int
	instances  func() int
	violated   invariant.Report

	total     account
	demand    demand
	customers sync.Map // poplarwinch.CustomerID to *account
	waiting   [upstream.Priorities]atomic.Int64

	mutex  sync.Mutex
	queues [upstream.Priorities]priorityQueue
}

// New returns a controller. WithForecast is required.
func New(opts ...Option) *Controller {
	c := &Controller{
		clock: clock.System(), threshold: 500, queueLimit: 1024, violated: invariant.Log,
		instances: func() int { return 1 },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// InFlight returns the numbers of admitted requests and tokens that have not been released.
func (c *Controller) InFlight() (requests, tokens int64) { return c.total.inFlight() }

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int {
	return c.queued(upstream.Priorities - 1)
}

// queued returns the number of waiters with the given or a higher priority. A lower number is a higher priority.
func (c *Controller) queued(priority int) int {
	sum := int64(0)
	for i := range priority + 1 {
		sum += c.waiting[i].Load()
	}
	return int(sum)
}

// Admit blocks until the request may be sent. It fails with a *poplarwinch.Error whose outcome is not-run, also when ctx
// ends. The caller must send the request immediately and call release when it has ended.
func (c *Controller) Admit(ctx context.Context, r Request) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
	}
	c.demand.add(c.clock.Now(), r.Prompt)
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
			// The total is reduced first, so that it never exceeds the sum of the customers' accounts.
			if !c.total.remove(r.cost()) {
				c.violated("admitted-tokens-add-up", "total after release of "+string(r.Prompt.RequestID))
			}
			c.remove(account, &r)
		}
	}, nil
}

// account returns the account of the request's customer.
func (c *Controller) account(r *Request) *account {
	if a, ok := c.customers.Load(r.Prompt.Customer); ok {
		return a.(*account)
	}
	a, _ := c.customers.LoadOrStore(r.Prompt.Customer, &account{})
	return a.(*account)
}

// remove subtracts the request from a customer's account and reports a violated invariant if the account is inconsistent.
func (c *Controller) remove(a *account, r *Request) {
	if !a.remove(r.cost()) {
		c.violated("admitted-tokens-add-up", fmt.Sprintf("customer %s after release of %s", r.Prompt.Customer, r.Prompt.RequestID))
	}
}

// wait blocks until the request may be sent or is rejected.
func (c *Controller) wait(ctx context.Context, r *Request) error {
	w, err := c.admitOrQueue(r)
	if w == nil {
		return err
	}
	return c.await(ctx, w)
}

// admitOrQueue admits or rejects the request immediately, or queues it and returns its waiter.
func (c *Controller) admitOrQueue(r *Request) (*waiter, error) {
	f, ok := c.forecast(r.Prompt)
	if !ok {
		return nil, nil
	}
	now := c.clock.Now()
	if late := now + f.TimeToFirstToken - r.Deadline; late > 0 {
		return nil, overloaded(f.TimeToFirstToken, late)
	}
	priority := r.Prompt.Class.Priority()
	if c.queued(priority) == 0 && f.Wait <= c.waitLimit(priority) {
		return nil, nil
	}
	w := &waiter{request: r, wake: make(chan struct{}, 1)}
	if err := c.enqueue(w, f); err != nil {
		return nil, err
	}
	return w, nil
}

// waitLimit returns the predicted wait above which requests of the given priority queue.
func (c *Controller) waitLimit(priority int) clock.Millis {
	return c.threshold * thresholdFactors[priority]
}

// enqueue adds w to the queue of its priority, or returns an error if the queues are full or w would miss its deadline.
func (c *Controller) enqueue(w *waiter, f routing.Forecast) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	priority := w.request.Prompt.Class.Priority()
	if c.Waiting() >= c.queueLimit && !c.evict(priority, f) {
		wait := prefillTime(c.tokensAhead(priority), c.rateShare(f))
		return overloaded(wait, wait)
	}
	tokensAhead := c.tokensAhead(priority - 1)
	c.queues[priority].add(w)
	predicted := f.TimeToFirstToken + prefillTime(tokensAhead+c.queues[priority].tokensAhead(w), c.rateShare(f))
	if late := c.clock.Now() + predicted - w.request.Deadline; late > 0 {
		c.queues[priority].remove(w)
		return overloaded(predicted, late)
	}
	c.updateCount(priority)
	return nil
}

// evict rejects the last waiter of the lowest priority below the given one and reports whether there was one.
func (c *Controller) evict(priority int, f routing.Forecast) bool {
	for i := upstream.Priorities - 1; i > priority; i-- {
		if last := c.queues[i].last(); last != nil {
			wait := prefillTime(c.tokensAhead(i), c.rateShare(f))
			c.dequeue(last, overloaded(wait, wait))
			return true
		}
	}
	return false
}

// tokensAhead returns the number of queued prompt tokens with the given or a higher priority.
func (c *Controller) tokensAhead(priority int) int64 {
	var tokens int64
	for i := range priority + 1 {
		tokens += c.queues[i].tokens
	}
	return tokens
}

// dequeue removes w from its queue with the result for the waiting request. The caller holds the lock.
func (c *Controller) dequeue(w *waiter, err error) {
	priority := w.request.Prompt.Class.Priority()
	c.queues[priority].remove(w)
	w.done, w.err = true, err
	w.signal()
	c.updateCount(priority)
}

// updateCount publishes the length of a queue and wakes its head, which may have changed.
func (c *Controller) updateCount(priority int) {
	c.waiting[priority].Store(int64(len(c.queues[priority].waiters)))
	if head := c.queues[priority].head(); head != nil {
		head.signal()
	}
}

// await blocks until w has left its queue or ctx ends.
func (c *Controller) await(ctx context.Context, w *waiter) error {
	for {
		head, err := c.admitQueued(w)
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
				c.dequeue(w, contextError(ctx.Err()))
			}
			return w.err
		}
		stop()
	}
}

// sweep rejects the waiters of the queue whose deadline is before the end of the predicted wait. It does nothing within
// sweepInterval of the previous sweep.
func (c *Controller) sweep(q *priorityQueue, now clock.Millis, f routing.Forecast) {
	if now-q.sweptAt < sweepInterval {
		return
	}
	q.sweptAt = now
	for _, w := range slices.Clone(q.waiters) {
		if late := now + f.Wait - w.request.Deadline; late > 0 {
			c.dequeue(w, overloaded(f.Wait, late))
		}
	}
}

// admitQueued admits waiters of w's queue while the predicted wait allows it. It returns the head of the queue, or nil and
// w's result if w has left the queue.
func (c *Controller) admitQueued(w *waiter) (*waiter, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	priority := w.request.Prompt.Class.Priority()
	q := &c.queues[priority]
	for head := q.head(); head != nil && !w.done; head = q.head() {
		now := c.clock.Now()
		f, ok := c.forecast(head.request.Prompt)
		if late := now + f.TimeToFirstToken - head.request.Deadline; ok && late > 0 {
			c.dequeue(head, overloaded(f.TimeToFirstToken, late))
			continue
		}
		if ok && (c.queued(priority-1) > 0 || f.Wait > c.waitLimit(priority) || !q.takeTokens(now, int64(head.request.Prompt.Tokens), c.rateShare(f))) {
			c.sweep(q, now, f)
			if w.done {
				return nil, w.err
			}
			return q.head(), nil
		}
		q.advance(head)
		c.dequeue(head, nil)
	}
	return nil, w.err
}

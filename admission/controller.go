// Package admission decides which prompts may run now, which wait and which are rejected early.
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
	// The first waiter of each lane repeats its prediction at this interval.
	pollInterval clock.Millis = 20
	// All waiters of a lane are checked against their deadlines at this interval.
	sweepInterval clock.Millis = 100
	// Bounds of the Retry-After estimate.
	minRetryAfter = clock.Second
	maxRetryAfter = clock.Minute
)

// Medium and long prompts queue at a multiple of the threshold, since their own prefill takes longer.
var thresholdFactors = [upstream.Priorities]clock.Millis{1, 2, 4}

// Controller admits prompts. While the predicted wait is short it takes no lock.
type Controller struct {
	clock     *clock.Clock
	forecast  func(p *routing.Prompt) (routing.Forecast, bool)
	threshold clock.Millis
	limit     int
	instances func() int
	violated  invariant.Report

	total     account
	demand    demand
	customers sync.Map // poplarwinch.CustomerID to *account
	waiting   [upstream.Priorities]atomic.Int64

	mutex sync.Mutex
	lanes [upstream.Priorities]lane
}

// New returns a controller; WithForecast is required.
func New(opts ...Option) *Controller {
	c := &Controller{
		clock: clock.System(), threshold: 500, limit: 1024, violated: invariant.Log,
		instances: func() int { return 1 },
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// InFlight returns the admitted requests and tokens that have not been released.
func (c *Controller) InFlight() (requests, tokens int64) { return c.total.inFlight() }

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int {
	return c.queued(upstream.Priorities - 1)
}

// queued returns the number of waiters of the given and higher priorities.
func (c *Controller) queued(priority int) int {
	sum := int64(0)
	for i := range priority + 1 {
		sum += c.waiting[i].Load()
	}
	return int(sum)
}

// Admit returns once the request may be sent, or with an *poplarwinch.Error whose outcome is not-run. The wait ends
// with ctx. The caller calls release when the request has ended, and sends the request right after Admit returned.
func (c *Controller) Admit(ctx context.Context, r Request) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, ended(err)
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
			// The total goes first, so that it never exceeds the sum of the customers' accounts.
			if !c.total.remove(r.cost()) {
				c.violated("admitted-tokens-add-up", "total after release of "+string(r.Prompt.RequestID))
			}
			c.remove(account, &r)
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
	w, err := c.offer(r)
	if w == nil {
		return err
	}
	return c.await(ctx, w)
}

// offer admits or rejects the request at once, or returns its waiter.
func (c *Controller) offer(r *Request) (*waiter, error) {
	f, ok := c.forecast(r.Prompt)
	if !ok {
		return nil, nil
	}
	now := c.clock.Now()
	if late := now + f.TimeToFirstToken - r.Deadline; late > 0 {
		return nil, overloaded(f.TimeToFirstToken, late)
	}
	priority := r.Prompt.Class.Priority()
	if c.queued(priority) == 0 && f.Wait <= c.limitOf(priority) {
		return nil, nil
	}
	w := &waiter{request: r, wake: make(chan struct{}, 1)}
	if err := c.enqueue(w, f); err != nil {
		return nil, err
	}
	return w, nil
}

// limitOf returns the predicted wait above which requests of the priority queue.
func (c *Controller) limitOf(priority int) clock.Millis {
	return c.threshold * thresholdFactors[priority]
}

// enqueue puts w into its lane or returns the error of its rejection.
func (c *Controller) enqueue(w *waiter, f routing.Forecast) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	priority := w.request.Prompt.Class.Priority()
	if c.Waiting() >= c.limit && !c.evict(priority, f) {
		wait := span(c.ahead(priority), c.part(f))
		return overloaded(wait, wait)
	}
	ahead := c.ahead(priority - 1)
	c.lanes[priority].add(w)
	predicted := f.TimeToFirstToken + span(ahead+c.lanes[priority].ahead(w), c.part(f))
	if late := c.clock.Now() + predicted - w.request.Deadline; late > 0 {
		c.lanes[priority].remove(w)
		return overloaded(predicted, late)
	}
	c.count(priority)
	return nil
}

// evict rejects the latest waiter of the lowest priority below the given one and reports whether there was one.
func (c *Controller) evict(priority int, f routing.Forecast) bool {
	for i := upstream.Priorities - 1; i > priority; i-- {
		if last := c.lanes[i].last(); last != nil {
			wait := span(c.ahead(i), c.part(f))
			c.leave(last, overloaded(wait, wait))
			return true
		}
	}
	return false
}

// ahead returns the prompt tokens that wait with the given or a higher priority.
func (c *Controller) ahead(priority int) int64 {
	var tokens int64
	for i := range priority + 1 {
		tokens += c.lanes[i].tokens
	}
	return tokens
}

// leave removes w from its lane with the error that its caller gets. The caller holds the lock.
func (c *Controller) leave(w *waiter, err error) {
	priority := w.request.Prompt.Class.Priority()
	c.lanes[priority].remove(w)
	w.done, w.err = true, err
	w.signal()
	c.count(priority)
}

// count publishes the length of a lane and wakes its head, which may have changed.
func (c *Controller) count(priority int) {
	c.waiting[priority].Store(int64(len(c.lanes[priority].waiters)))
	if head := c.lanes[priority].head(); head != nil {
		head.signal()
	}
}

// await waits until w left its lane or ctx ends.
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

// sweep rejects the waiters of the lane whose limit ends before the predicted wait, at most every 100 ms.
func (c *Controller) sweep(l *lane, now clock.Millis, f routing.Forecast) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	for _, w := range slices.Clone(l.waiters) {
		if late := now + f.Wait - w.request.Deadline; late > 0 {
			c.leave(w, overloaded(f.Wait, late))
		}
	}
}

// dispatch admits waiters of w's lane while the predicted wait allows it. It returns the head of the lane, or nil and
// w's result when w has left the lane.
func (c *Controller) dispatch(w *waiter) (*waiter, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	priority := w.request.Prompt.Class.Priority()
	lane := &c.lanes[priority]
	for head := lane.head(); head != nil && !w.done; head = lane.head() {
		now := c.clock.Now()
		f, ok := c.forecast(head.request.Prompt)
		if late := now + f.TimeToFirstToken - head.request.Deadline; ok && late > 0 {
			c.leave(head, overloaded(f.TimeToFirstToken, late))
			continue
		}
		if ok && (c.queued(priority-1) > 0 || f.Wait > c.limitOf(priority) || !lane.paced(now, int64(head.request.Prompt.Tokens), c.part(f))) {
			c.sweep(lane, now, f)
			if w.done {
				return nil, w.err
			}
			return lane.head(), nil
		}
		lane.advance(head)
		c.leave(head, nil)
	}
	return nil, w.err
}

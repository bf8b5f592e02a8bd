package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/poplarwinch/poplarwinch/assignment"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/queue"
	"github.com/poplarwinch/poplarwinch/route"
)

// minPassInterval is the shortest time between two passes over the waiting requests after changes of the fleet, which may come within less
// than a millisecond of each other.
const minPassInterval clock.Millis = 5

// pausePerPass is the least time between two passes as a multiple of the time that a pass takes. With waiting requests of many kinds a pass
// makes many decisions, which must leave most of a small machine to requests that run.
const pausePerPass = 4

// maxInstanceJitter bounds the random delay of an instance after a change of the fleet. New requests that must not overtake others wait for
// it too: short prompts with a target of 300 ms are rejected from 45 ms on if the engines are nearly full.
const maxInstanceJitter clock.Millis = 30

// maxRestarts bounds how often a pass begins again, so that it ends although changes of the fleet come at any time.
const maxRestarts = 2

// waitingRequests tries the requests that wait for a server in the order of the queue. It has those of services with differing
// priorities; those of other services wait each for itself. Its loop runs only while requests wait.
type waitingRequests struct {
	d *Dispatcher
	// wake ends the wait of the loop: the last request has left, or one has come that must not overtake others.
	wake chan struct{}

	mutex   sync.Mutex
	queue   *queue.Queue
	waiters map[*queue.Item]*waiter
	running bool
	holds   holds
}

// waiter is a request in the queue.
type waiter struct {
	item *queue.Item
	// turn asks the request to make a decision, and done has its result.
	turn chan struct{}
	done chan turnResult
	// left is closed when the request leaves the queue.
	left chan struct{}
}

// turnResult is the result of a decision for a waiting request.
type turnResult string

const (
	// turnEnded means that the request has left the queue: it runs or was rejected.
	turnEnded turnResult = "ended"
	// turnFailed means that the request can't run now.
	turnFailed turnResult = "failed"
	// turnDeferred means that the request must not overtake others that wait for their turn.
	turnDeferred turnResult = "deferred"
	// turnHeld means that the request leaves free capacity to more urgent ones at other instances.
	turnHeld turnResult = "held"
)

func newWaitingRequests(d *Dispatcher) *waitingRequests {
	return &waitingRequests{
		d: d, wake: make(chan struct{}, 1), queue: queue.New(), waiters: map[*queue.Item]*waiter{}, holds: holds{},
	}
}

// join adds a request to the queue and starts the loop if it does not run.
func (w *waitingRequests) join(i *queue.Item) *waiter {
	v := &waiter{item: i, turn: make(chan struct{}), done: make(chan turnResult, 1), left: make(chan struct{})}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue.Add(i)
	w.waiters[i] = v
	if !w.running {
		w.running = true
		w.d.background.Go(w.loop)
	}
	return v
}

// leave removes a request from the queue unless it has left before.
func (w *waitingRequests) leave(v *waiter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiters[v.item] != v {
		return
	}
	delete(w.waiters, v.item)
	w.queue.Remove(v.item)
	close(v.left)
	if w.queue.Len() == 0 {
		w.wakeUp()
	}
}

// wakeUp ends the wait of the loop.
func (w *waitingRequests) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// started charges a request that runs to its customer.
func (w *waitingRequests) started(i *queue.Item) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue.Started(i, w.d.clock.Now())
}

// loop tries the waiting requests after each change of the fleet, and at least every pollInterval, until none waits.
func (w *waitingRequests) loop() {
	for {
		changed, began := w.d.fleet.Changed(), w.d.clock.Now()
		wait := w.pass()
		pause := min(pausePerPass*(w.d.clock.Now()-began), pollInterval)
		if w.endIfEmpty() {
			return
		}
		due, stop := w.d.clock.After(wait)
		select {
		case <-changed:
			w.capacityChanged()
			_ = w.d.clock.Sleep(context.Background(), max(w.jitter(), minPassInterval, pause))
		case <-due:
			w.capacityChanged()
		case <-w.wake:
		}
		stop()
	}
}

// endIfEmpty reports whether no request waits, so that the loop ends.
func (w *waitingRequests) endIfEmpty() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running = w.queue.Len() > 0
	return !w.running
}

func (w *waitingRequests) capacityChanged() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue.CapacityChanged()
}

// jitter returns a random delay before the waiting requests react to a change of the fleet, which all instances see at the same time. It
// lets most instances learn of the others' decisions before they decide.
func (w *waitingRequests) jitter() clock.Millis {
	maxDelay := min(fleet.PropagationDelay*clock.Millis(w.d.fleet.WaitingPeers()), maxInstanceJitter)
	return clock.Millis(rand.Int64N(int64(maxDelay) + 1))
}

// pass gives each request that may be able to run its turn, in order. It returns the longest time until the next pass. After a change of
// the fleet it begins again, so that what has become free is not taken by the requests that were not tried yet.
func (w *waitingRequests) pass() clock.Millis {
	wait := pollInterval
	changed, p := w.d.fleet.Changed(), w.begin()
	for restarts := 0; ; {
		if restarts < maxRestarts && isClosed(changed) {
			restarts++
			changed, p = w.d.fleet.Changed(), w.begin()
		}
		i, v := w.next(p)
		if i == nil {
			return wait
		}
		result := v.take()
		if result == turnEnded {
			continue
		}
		p.Failed(i)
		if result == turnHeld {
			wait = min(wait, fleet.PropagationDelay)
		}
	}
}

// begin begins a pass over the queue.
func (w *waitingRequests) begin() *queue.Pass {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.queue.Pass(w.d.clock.Now())
}

// next returns the next request of the pass, or nil at its end.
func (w *waitingRequests) next(p *queue.Pass) (*queue.Item, *waiter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	i := p.Next()
	return i, w.waiters[i]
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// take lets the request make a decision and returns its result.
func (v *waiter) take() turnResult {
	select {
	case v.turn <- struct{}{}:
	case <-v.left:
		return turnEnded
	}
	select {
	case result := <-v.done:
		return result
	case <-v.left:
		return turnEnded
	}
}

// isOrdered reports whether the request waits in the order of the queue. A request that a server may have run does not: its caller's
// patience is not known from the time of its arrival.
func (x *run) isOrdered() bool { return x.hasOrder() && !x.begun && x.possibleRuns == 0 }

// pickInOrder is pick for a request of a service with differing priorities.
func (x *run) pickInOrder(ctx context.Context) (*selection, error) {
	item, w := x.item(), x.d.waiting
	selected, result, err := x.takeTurn(ctx, item, func() bool { return w.mayOvertake(item) }, func() {})
	if selected != nil || err != nil {
		return selected, err
	}
	defer x.d.fleet.CountWaitingClass(x.Service, item.Class)()
	v := w.join(item)
	if result == turnDeferred {
		w.wakeUp()
	}
	defer func() { w.leave(v) }()
	for {
		select {
		case <-v.turn:
			leave := func() {
				w.leave(v)
				v.done <- turnEnded
			}
			selected, result, err := x.takeTurn(ctx, item, func() bool { return true }, leave)
			switch {
			case selected != nil || err != nil:
				return selected, err
			case result == turnEnded:
				v = w.join(item) // memory could not be reserved
			default:
				v.done <- result
			}
		case <-x.waitingEnds():
			return nil, shuttingDown()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeTurn makes one decision and carries it out. leave is called as soon as the request no longer waits; memory is reserved after that, so
// that it doesn't hold up other requests. Without a selection and an error the request waits on.
func (x *run) takeTurn(ctx context.Context, item *queue.Item, mayRun func() bool, leave func()) (*selection, turnResult, error) {
	if err := x.blocked(); err != nil {
		leave()
		return nil, turnEnded, err
	}
	selected, result, err := x.chooseInOrder(item, mayRun)
	if selected == nil && err == nil {
		return nil, result, nil
	}
	leave()
	if selected != nil && selected.plan.Shared {
		selected, err = x.reserveOrReject(ctx, selected)
	}
	if selected != nil {
		x.d.waiting.started(item)
	}
	return selected, turnEnded, err
}

// chooseInOrder makes one decision, as choose. A request that could run waits if it may not yet, or if it leaves the free capacity to more
// urgent requests at other instances.
func (x *run) chooseInOrder(item *queue.Item, mayRun func() bool) (*selection, turnResult, error) {
	d := x.d
	d.decisionMutex.Lock()
	defer d.decisionMutex.Unlock()
	candidates := x.candidates()
	if len(candidates) == 0 {
		return nil, turnFailed, x.noServer()
	}
	plan, verdict := x.plan(candidates)
	if verdict != assignment.VerdictRun {
		d.waiting.noCapacity(item)
		if verdict == assignment.VerdictWait {
			return nil, turnFailed, x.tooManyAhead(item, candidates)
		}
		return nil, turnFailed, x.verdictError(verdict, candidates)
	}
	if !mayRun() {
		return nil, turnDeferred, nil
	}
	if x.holdsBack(item, candidates) {
		return nil, turnHeld, nil
	}
	return x.apply(candidates, &plan), turnEnded, nil
}

// mayOvertake reports whether a new request may run at once although others wait.
func (w *waitingRequests) mayOvertake(i *queue.Item) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.queue.MayOvertake(i, w.d.clock.Now())
}

// item describes the request for the queue.
func (x *run) item() *queue.Item {
	i := &queue.Item{
		Service: x.Service, Customer: x.Customer, Class: x.Priority.Class, Route: x.Route.Name, Cost: 1, Arrived: x.Started,
		Target: x.Started + x.Route.Target, GivesUp: x.givesUpAt(), Returned: x.cameBack(),
		Regions: route.RegionsKey(x.Route.AllowedRegions) + route.RegionsKey(x.CustomerRegions), Distinct: len(x.excluded) > 0,
	}
	if pool, isPool := x.pool(); isPool {
		i.Cost = pool.Prefill(x.PromptTokens)
		i.Lead = clock.Millis(i.Cost)
		if i.Cost > maxSinglePrefill {
			i.Lead /= prefillGroup
		}
	}
	return i
}

const (
	// maxSinglePrefill is the longest prefill, in milliseconds, that is assumed to run on one engine.
	maxSinglePrefill = 150
	// prefillGroup is the number of engines that are assumed to share a longer one at best.
	prefillGroup = 16
	// returnedFraction is the fraction of the route's timeout below which the time that a caller leaves is taken as what is left of it
	// after a rejection.
	returnedFraction = 0.9
)

// cameBack reports whether the caller seems to have come back after a rejection: it leaves less than the route's timeout. Another instance
// may have rejected it, so that nothing else shows it. A caller that always leaves less time is taken for one that came back, which
// changes only the order among the requests of its own customer.
func (x *run) cameBack() bool {
	return x.Route.Timeout > 0 && float64(x.Deadline-x.Started) < returnedFraction*float64(x.Route.Timeout)
}

package dispatch

import (
	"fmt"
	"math/rand/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/queue"
)

// tooManyAhead returns the error for a request that waits for the limits of servers although those before it need all that the limits allow
// in the time in which it may be held. It is nil for others. The time to come back is that in which the limits allow those before it, with
// up to a half added so that callers don't come back together.
func (x *run) tooManyAhead(i *queue.Item, candidates []fleet.Candidate) error {
	left := x.Started + x.maxHeldTime() - x.d.clock.Now()
	allowed, perSecond, known := limitsAllow(candidates, left)
	if !known {
		return nil
	}
	ahead := x.d.waiting.ahead(i)
	if i.Regions == "" { // the counts of peers do not say for which regions their requests wait
		ahead += x.d.fleet.WaitingBefore(x.Service, i.Class)
	}
	if ahead < allowed {
		return nil
	}
	wait := max(clock.Millis(float64(ahead)/perSecond*float64(clock.Second)), retryAfterReject)
	return &poplarwinch.Error{
		Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: wait + clock.Millis(rand.Int64N(int64(wait/2))),
		Message: fmt.Sprintf("the limits of all %d servers are used up, and %d requests wait before this one", len(candidates), ahead), Remedy: "retry later",
	}
}

// limitsAllow returns the number of requests that the limits of the servers allow within a time, and their sum of rates. It is not known if
// a server has no limit.
func limitsAllow(candidates []fleet.Candidate, within clock.Millis) (requests int, perSecond float64, known bool) {
	for i := range candidates {
		c := &candidates[i]
		if c.LimitInterval == 0 {
			return 0, 0, false
		}
		perSecond += float64(clock.Second) / float64(c.LimitInterval)
		if within >= c.Wait {
			requests += 1 + int((within-c.Wait)/c.LimitInterval)
		}
	}
	return requests, perSecond, len(candidates) > 0
}

// ahead returns the number of waiting requests of this instance that come before the item.
func (w *waitingRequests) ahead(i *queue.Item) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.queue.Ahead(i)
}

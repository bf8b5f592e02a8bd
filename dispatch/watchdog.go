package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
)

// watchdog cancels a call whose server sends nothing within a limit.
type watchdog struct {
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	timer *time.Timer
	// extend returns the time by which the present limit is extended when it has passed; zero ends the call. It may be nil.
	extend func() clock.Millis
	// limits counts the limits that were set, so that a timer which fires late does not end the call in place of a later one.
	limits int
}

// newWatchdog returns a watchdog with a first limit and the function that may extend it. A limit of zero disables it.
func newWatchdog(limit clock.Millis, extend func() clock.Millis, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{cancel: cancel}
	w.set(limit, extend)
	return w
}

// reset sets a new limit that is not extended; zero disables it.
func (w *watchdog) reset(limit clock.Millis) { w.set(limit, nil) }

func (w *watchdog) set(limit clock.Millis, extend func() clock.Millis) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.extend = extend
	w.start(limit)
}

// start replaces the timer. The caller holds the lock.
func (w *watchdog) start(limit clock.Millis) {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.limits++
	if n := w.limits; limit > 0 {
		w.timer = time.AfterFunc(limit.Duration(), func() { w.expire(n) })
	}
}

// expire extends limit number n or cancels the call, unless a later limit was set.
func (w *watchdog) expire(n int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if n != w.limits {
		return
	}
	if w.extend != nil {
		if more := w.extend(); more > 0 {
			w.start(more)
			return
		}
	}
	w.cancel(errSilentServer)
}

func (w *watchdog) stop() { w.reset(0) }

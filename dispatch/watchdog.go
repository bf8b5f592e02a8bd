package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
)

// ruling is the decision about a call whose server sent nothing within the limit.
type ruling struct {
	// wait is the time after which the next decision is made; zero ends the call.
	wait clock.Millis
	// successor has the servers that take over when the call ends, or is nil.
	successor *selection
}

// watchdog ends a call whose server sends nothing within a limit, if its owner decides so.
type watchdog struct {
	// decide is called when a limit has passed, without the lock. Its context ends when the server sends something after all, or the
	// call ends.
	decide func(ctx context.Context) ruling
	// discard releases a successor that is not needed.
	discard func(*selection)
	cancel  context.CancelCauseFunc

	mutex sync.Mutex
	timer *time.Timer
	// limits counts the limits that were set, so that neither a timer that fires late nor a decision that takes long ends the call in
	// place of a later one.
	limits int
	// endDecision ends the context of the present decision; nil if there is none.
	endDecision context.CancelFunc
	decisions   sync.WaitGroup
	// ended is set once the call was ended.
	ended     bool
	successor *selection
}

// reset sets a new limit; zero disables it.
func (w *watchdog) reset(limit clock.Millis) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.set(limit)
}

// set replaces the timer and ends the decision about the previous limit. Once the call was ended there is no limit. The caller holds the lock.
func (w *watchdog) set(limit clock.Millis) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.endDecision != nil {
		w.endDecision()
		w.endDecision = nil
	}
	w.limits++
	if n := w.limits; limit > 0 && !w.ended {
		w.timer = time.AfterFunc(limit.Duration(), func() { w.expire(n) })
	}
}

// expire makes the decision about limit number n and carries it out, unless a later limit was set.
func (w *watchdog) expire(n int) {
	ctx, ok := w.beginDecision(n)
	if !ok {
		return
	}
	defer w.decisions.Done()
	r := w.decide(ctx)
	if !w.follow(n, r) && r.successor != nil {
		w.discard(r.successor)
	}
}

// beginDecision returns the context of the decision about limit number n. It reports false if a later limit was set.
func (w *watchdog) beginDecision(n int) (context.Context, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if n != w.limits {
		return nil, false
	}
	w.decisions.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	w.endDecision = cancel
	return ctx, true
}

// follow carries out the ruling about limit number n. It reports false if a later limit was set.
func (w *watchdog) follow(n int, r ruling) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if n != w.limits {
		return false
	}
	w.set(r.wait)
	if r.wait == 0 {
		w.successor, w.ended = r.successor, true
		w.cancel(errSilentServer)
	}
	return true
}

// hasEnded reports whether the call was ended for silence.
func (w *watchdog) hasEnded() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ended
}

// stop disables the watchdog, waits for the present decision and returns the successor of the call, or nil.
func (w *watchdog) stop() *selection {
	w.reset(0)
	w.decisions.Wait()
	s := w.successor
	w.successor = nil
	return s
}

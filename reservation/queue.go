package reservation

import (
	"context"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// releaseTimeout bounds one release call.
	releaseTimeout = 2 * clock.Second
	// retryInterval is the pause before failed releases are retried.
	retryInterval = clock.Second
	// maxRetryTime bounds the retries of a release; after that the sweeper reclaims the reservation once its deadline
	// has passed.
	maxRetryTime = clock.Minute
	// maxPendingReleases bounds the queue; the sweeper also reclaims what is dropped.
	maxPendingReleases = 10_000
)

// releaseQueue holds reservations that are to be released.
type releaseQueue struct {
	mutex   sync.Mutex
	pending []pendingRelease
	added   chan struct{}
}

type pendingRelease struct {
	share Share
	since clock.Millis
}

func (q *releaseQueue) add(s Share, now clock.Millis) {
	q.mutex.Lock()
	if len(q.pending) < maxPendingReleases {
		q.pending = append(q.pending, pendingRelease{share: s, since: now})
	}
	q.mutex.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *releaseQueue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.pending)
}

// run releases the reservations until ctx ends.
func (q *releaseQueue) run(ctx context.Context, b *Builder) error {
	for {
		q.releaseOnce(ctx, b)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if q.len() > 0 {
			_ = b.clock.Sleep(ctx, retryInterval)
			continue
		}
		select {
		case <-q.added:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// releaseOnce tries to release each queued reservation once, up to 16 at the same time.
func (q *releaseQueue) releaseOnce(ctx context.Context, b *Builder) {
	q.mutex.Lock()
	list := q.pending
	q.mutex.Unlock()
	done := make([]bool, len(list))
	var group sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i, p := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			done[i] = q.release(ctx, b, p)
		})
	}
	group.Wait()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	rest := append([]pendingRelease(nil), q.pending[len(list):]...)
	for i, p := range list {
		if !done[i] {
			rest = append(rest, p)
		}
	}
	q.pending = rest
}

// release reports whether the reservation is released or no longer retried.
func (q *releaseQueue) release(ctx context.Context, b *Builder, p pendingRelease) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
	defer cancel()
	err := b.Release(ctx, p.share.Address, p.share.ID)
	if err == nil {
		return true
	}
	if b.clock.Now()-p.since > maxRetryTime {
		b.log.WithError(err).WithField("upstream", string(p.share.Upstream)).Warn("reservation not released; the sweeper reclaims it after its deadline")
		return true
	}
	return false
}

package reservation

import (
	"context"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	releaseTimeout = 2 * clock.Second
	releasePause   = clock.Second
	// giveUpAfter bounds the repeats; the sweeper reclaims the reservation after its deadline.
	giveUpAfter = clock.Minute
	// maxReleases bounds the queue for the same reason.
	maxReleases = 10_000
)

// queue holds reservations that are to be freed.
type queue struct {
	mutex   sync.Mutex
	pending []pendingRelease
	added   chan struct{}
}

type pendingRelease struct {
	share Share
	since clock.Millis
}

func (q *queue) add(s Share, now clock.Millis) {
	q.mutex.Lock()
	if len(q.pending) < maxReleases {
		q.pending = append(q.pending, pendingRelease{share: s, since: now})
	}
	q.mutex.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *queue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.pending)
}

// run frees the reservations until ctx ends.
func (q *queue) run(ctx context.Context, b *Builder) error {
	for {
		q.pass(ctx, b)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if q.len() > 0 {
			_ = b.clock.Sleep(ctx, releasePause)
			continue
		}
		select {
		case <-q.added:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pass tries each reservation once, those of different engines at the same time.
func (q *queue) pass(ctx context.Context, b *Builder) {
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
			done[i] = q.free(ctx, b, p)
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

// free reports whether the release needs no repeat.
func (q *queue) free(ctx context.Context, b *Builder, p pendingRelease) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
	defer cancel()
	err := b.Release(ctx, p.share.Address, p.share.ID)
	if err == nil {
		return true
	}
	if b.clock.Now()-p.since > giveUpAfter {
		b.log.WithError(err).WithField("upstream", string(p.share.Upstream)).Warn("reservation not freed; it is reclaimed after its deadline")
		return true
	}
	return false
}

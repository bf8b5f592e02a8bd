package configuration

import (
	"context"
	"errors"
	"sync"
)

// upload stores sections in the object store under their digests. A section that already exists counts as stored.
func (s *Store) upload(ctx context.Context, bodies map[string][]byte, digests []string) error {
	u := &uploader{store: s, bodies: bodies, queue: make(chan string, len(digests))}
	for _, digest := range digests {
		u.queue <- digest
	}
	close(u.queue)
	var group sync.WaitGroup
	for range min(maxConcurrentTransfers, len(digests)) {
		group.Go(func() { u.uploadQueued(ctx) })
	}
	group.Wait()
	return errors.Join(u.errors...)
}

// uploader uploads the sections of one record.
type uploader struct {
	store  *Store
	bodies map[string][]byte
	queue  chan string
	mutex  sync.Mutex
	errors []error
}

func (u *uploader) uploadQueued(ctx context.Context) {
	for digest := range u.queue {
		err := u.store.objects.PutNew(ctx, objectKey(digest), u.bodies[digest])
		if err != nil && !errors.Is(err, ErrExists) {
			u.mutex.Lock()
			u.errors = append(u.errors, err)
			u.mutex.Unlock()
			return
		}
	}
}

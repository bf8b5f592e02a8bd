package configuration

import (
	"context"
	"fmt"
	"sync"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// objectKey returns the key of a section in the object store.
func objectKey(digest string) string { return "sections/" + digest }

// transfer collects the sections of one record.
type transfer struct {
	store  *Store
	mutex  sync.Mutex
	bodies map[string][]byte
	errors []error
}

func (t *transfer) missing(refs []manifest.SectionRef) []string {
	var missing []string
	for _, ref := range refs {
		if t.bodies[ref.Digest] == nil {
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// add keeps a body if it has the digest, so that a corrupt copy in one source doesn't hide a good one in another.
func (t *transfer) add(digest string, body []byte, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case err != nil:
		t.errors = append(t.errors, err)
	case manifest.DigestOf(body) != digest:
		t.errors = append(t.errors, fmt.Errorf("a copy of section %s is corrupt", digest))
	default:
		t.bodies[digest] = body
	}
}

func (t *transfer) fromPeers(ctx context.Context, digests []string) {
	bodies, err := t.store.peers.Sections(ctx, digests)
	if err != nil {
		t.add("", nil, fmt.Errorf("fetch sections from peers: %w", err))
	}
	for _, digest := range digests {
		if body, ok := bodies[digest]; ok {
			t.add(digest, body, nil)
		}
	}
}

func (t *transfer) fromObjects(ctx context.Context, digests []string) {
	queue := make(chan string, len(digests))
	for _, digest := range digests {
		queue <- digest
	}
	close(queue)
	var group sync.WaitGroup
	for range min(concurrentTransfers, len(digests)) {
		group.Go(func() { t.run(ctx, queue) })
	}
	group.Wait()
}

func (t *transfer) run(ctx context.Context, queue <-chan string) {
	for digest := range queue {
		body, err := t.store.objects.Get(ctx, objectKey(digest))
		if err != nil {
			err = fmt.Errorf("fetch a section from the object store: %w", err)
		}
		t.add(digest, body, err)
		if ctx.Err() != nil {
			return
		}
	}
}

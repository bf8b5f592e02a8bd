package configuration

import (
	"context"
	"fmt"
	"sync"

	"github.com/poplarwinch/poplarwinch/manifest"
)

// objectKey returns the key of a section in the object store.
func objectKey(digest string) string { return "sections/" + digest }

// downloader fetches the section bodies of one record.
type downloader struct {
	store  *Store
	mutex  sync.Mutex
	bodies map[string][]byte
	errors []error
}

// missing returns the digests of the sections that are not fetched yet.
func (d *downloader) missing(refs []manifest.SectionRef) []string {
	var missing []string
	for _, ref := range refs {
		if d.bodies[ref.Digest] == nil {
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// addSection stores a body if it matches the digest; otherwise the section stays missing and is fetched from the next
// source.
func (d *downloader) addSection(digest string, body []byte, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case err != nil:
		d.errors = append(d.errors, err)
	case manifest.DigestOf(body) != digest:
		d.errors = append(d.errors, fmt.Errorf("section %s is corrupt: the body does not match the digest", digest))
	default:
		d.bodies[digest] = body
	}
}

func (d *downloader) fetchFromPeers(ctx context.Context, digests []string) {
	bodies, err := d.store.peers.Sections(ctx, digests)
	if err != nil {
		d.addSection("", nil, fmt.Errorf("fetch manifest sections from peers: %w", err))
	}
	for _, digest := range digests {
		if body, ok := bodies[digest]; ok {
			d.addSection(digest, body, nil)
		}
	}
}

func (d *downloader) fetchFromObjects(ctx context.Context, digests []string) {
	queue := make(chan string, len(digests))
	for _, digest := range digests {
		queue <- digest
	}
	close(queue)
	var group sync.WaitGroup
	for range min(maxConcurrentTransfers, len(digests)) {
		group.Go(func() { d.fetchQueued(ctx, queue) })
	}
	group.Wait()
}

func (d *downloader) fetchQueued(ctx context.Context, queue <-chan string) {
	for digest := range queue {
		body, err := d.store.objects.Get(ctx, objectKey(digest))
		if err != nil {
			err = fmt.Errorf("fetch a manifest section from the object store: %w", err)
		}
		d.addSection(digest, body, err)
		if ctx.Err() != nil {
			return
		}
	}
}

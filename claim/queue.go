package claim

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
)

// workers is the number of repeats at a time: enough to work off 10,000 jobs within two minutes at 10 ms for each write,
// few enough to leave the table's capacity to new calls.
const workers = 4

// queue holds the jobs of a ledger and runs them when they are due.
type queue struct {
	clock *clock.Clock
	jobs  atomic.Int64
	bytes atomic.Int64

	mutex sync.Mutex
	heap  jobHeap
	// added is closed and replaced when a job is added.
	added chan struct{}
}

func newQueue(c *clock.Clock) *queue { return &queue{clock: c, added: make(chan struct{})} }

func (q *queue) full() bool {
	return q.jobs.Load() >= maxPendingJobs || q.bytes.Load() >= maxPendingBytes
}

// add accepts a job even if the queue is full: its call has been admitted.
func (q *queue) add(j *job) {
	q.jobs.Add(1)
	q.bytes.Add(int64(j.bytes))
	q.push(j)
}

func (q *queue) push(j *job) {
	j.due = q.clock.Now() + j.wait.next(repeatFirst, repeatMax)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	heap.Push(&q.heap, j)
	close(q.added)
	q.added = make(chan struct{})
}

func (q *queue) run(ctx context.Context) error {
	var all sync.WaitGroup
	for range workers {
		all.Go(func() { q.loop(ctx) })
	}
	all.Wait()
	return ctx.Err()
}

func (q *queue) loop(ctx context.Context) {
	for {
		j := q.next(ctx)
		if j == nil {
			return
		}
		if j.step(ctx) != nil {
			q.push(j)
			continue
		}
		q.jobs.Add(-1)
		q.bytes.Add(-int64(j.bytes))
	}
}

// next waits for a job that is due; it returns nil when ctx has ended.
func (q *queue) next(ctx context.Context) *job {
	for ctx.Err() == nil {
		q.mutex.Lock()
		now, added := q.clock.Now(), q.added
		var due <-chan struct{}
		stop := func() {}
		if len(q.heap) > 0 {
			if q.heap[0].due <= now {
				j := heap.Pop(&q.heap).(*job)
				q.mutex.Unlock()
				return j
			}
			due, stop = q.clock.After(q.heap[0].due - now)
		}
		q.mutex.Unlock()
		select {
		case <-due:
		case <-added:
		case <-ctx.Done():
		}
		stop()
	}
	return nil
}

// jobHeap is a heap with the job that is due first on top.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	n := len(old) - 1
	j := old[n]
	old[n] = nil
	*h = old[:n]
	return j
}

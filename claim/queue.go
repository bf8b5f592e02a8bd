package claim

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"

	"github.com/poplarwinch/poplarwinch/clock"
)

// retryWorkers is the number of concurrent retries: enough to process 10,000 jobs within two minutes at 10 ms per
// write, and few enough to leave the table's capacity to new calls.
const retryWorkers = 4

// queue holds the pending jobs of a ledger and runs them when they are due.
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

// add adds a job, even if the queue is full: its call has been admitted already.
func (q *queue) add(j *job) {
	q.jobs.Add(1)
	q.bytes.Add(int64(j.bytes))
	q.push(j)
}

// push schedules the next run of a job after its backoff delay.
func (q *queue) push(j *job) {
	j.due = q.clock.Now() + j.delay.next(minRetryDelay, maxRetryDelay)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	heap.Push(&q.heap, j)
	close(q.added)
	q.added = make(chan struct{})
}

func (q *queue) run(ctx context.Context) error {
	var group sync.WaitGroup
	for range retryWorkers {
		group.Go(func() { q.runWorker(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

// runWorker runs due jobs until ctx ends. Jobs that fail are rescheduled.
func (q *queue) runWorker(ctx context.Context) {
	for {
		j := q.next(ctx)
		if j == nil {
			return
		}
		if j.write(ctx) != nil {
			q.push(j)
			continue
		}
		q.jobs.Add(-1)
		q.bytes.Add(-int64(j.bytes))
	}
}

// next waits for a due job and removes it from the heap; it returns nil if ctx has ended.
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

// jobHeap is a min-heap of jobs by due time; it implements heap.Interface.
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

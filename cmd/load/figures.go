package main

import (
	"sync"
	"time"
)

// figures collects the results of one phase.
type figures struct {
	firstToken [len(classes)]histogram // streamed prompts, from the scheduled arrival
	total      [len(classes)]histogram // completed prompts, from the scheduled arrival
	interToken histogram

	mutex   sync.Mutex
	prompts counts
	resumed uint64 // connections that resumed a stream
	calls   counts
	surge   surgeCounts
	// recordRead is set once the calls were compared with the record of executions.
	recordRead bool
	// doubled counts keys of calls that were executed more than once.
	doubled uint64
	// falseNotRun counts keys for which all replies said not-run although the call was executed.
	falseNotRun uint64
	// falseCompleted counts keys with a completed reply although the call was not executed.
	falseCompleted uint64
	recordError    string
}

// counts counts requests by result.
type counts struct {
	sent, unsent, completed, lost, partial, foreign, late uint64

	rejected, failed map[string]uint64
}

// surgeCounts counts the prompts that arrived during the surge.
type surgeCounts struct{ sent, withinLimit uint64 }

// result describes how one request ended.
type result struct {
	status  status
	kind    string
	elapsed time.Duration
	late    bool
}

// status classifies the result of a request.
type status string

const (
	statusCompleted status = "completed"
	statusRejected  status = "rejected" // error reply with outcome not-run
	statusFailed    status = "failed"   // any other error that the caller noticed
	statusLost      status = "lost"     // no answer before the deadline
	statusPartial   status = "partial"  // incomplete answer without an error
	statusForeign   status = "foreign"  // answer that does not match the request
)

func newFigures() *figures {
	f := &figures{}
	for _, c := range []*counts{&f.prompts, &f.calls} {
		c.rejected, c.failed = map[string]uint64{}, map[string]uint64{}
	}
	return f
}

func (c *counts) add(r result) {
	c.sent++
	if r.late {
		c.late++
	}
	switch r.status {
	case statusCompleted:
		c.completed++
	case statusRejected:
		c.rejected[r.kind]++
	case statusFailed:
		c.failed[r.kind]++
	case statusLost:
		c.lost++
	case statusPartial:
		c.partial++
	case statusForeign:
		c.foreign++
	}
}

func (f *figures) addPrompt(a arrival, r result, limit time.Duration) {
	if r.status == statusCompleted {
		f.total[a.class].add(r.elapsed)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.prompts.add(r)
	if a.surge {
		f.surge.sent++
		if r.status == statusCompleted && r.elapsed <= limit {
			f.surge.withinLimit++
		}
	}
}

func (f *figures) addCall(r result) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls.add(r)
}

func (f *figures) addUnsent(c *counts) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c.unsent++
}

func (f *figures) addResumed() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.resumed++
}

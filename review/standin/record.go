//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Prefixes of the ids of requests, by their clients.
const (
	soundPrefix  = "a"
	commitPrefix = "e"
	burstPrefix  = "b"
	badPrefix    = "d"
)

// record is the file with what was sent, answered and run.
type record struct {
	started time.Time

	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
	runs  []run
	// crashes has the times at which servers crashed, in order.
	crashes []time.Time
	// failed has the requests without a complete answer.
	failed []string
}

// run is a request on which a server began to work.
type run struct {
	attempt string
	server  string
	at      time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// note writes a line with the time since the start of the case.
func (r *record) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%7.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", values...)
}

// ran records that a server began to work on a request.
func (r *record) ran(attempt, server string) {
	r.note("server %s runs %s", server, attempt)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs = append(r.runs, run{attempt: attempt, server: server, at: time.Now()})
}

// crashed records that a server crashes on a request.
func (r *record) crashed(attempt, server string) {
	r.note("server %s crashes on %s", server, attempt)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.crashes = append(r.crashes, time.Now())
}

// crashCount returns the number of crashes.
func (r *record) crashCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.crashes)
}

// answered records what a client got for a request.
func (r *record) answered(attempt string, a answer) {
	r.note("client gets for %s: status %d, %d bytes, error %v%s", attempt, a.status, len(a.body), a.err, a.reason())
	if a.err == nil && a.status == http.StatusOK {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failed = append(r.failed, attempt)
}

// failures returns the number of requests without a complete answer whose names begin with prefix.
func (r *record) failures(prefix string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, attempt := range r.failed {
		if strings.HasPrefix(attempt, prefix) {
			count++
		}
	}
	return count
}

// badRequestsAfter returns the number of bad requests that servers began to run later than the time after a crash, by its number, and whether
// there were so many crashes. A request that several servers ran counts once.
func (r *record) badRequestsAfter(crash int, after time.Duration) (int, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.crashes) < crash {
		return 0, false
	}
	from, attempts := r.crashes[crash-1].Add(after), map[string]bool{}
	for _, x := range r.runs {
		if strings.HasPrefix(x.attempt, badPrefix) && x.at.After(from) {
			attempts[x.attempt] = true
		}
	}
	return len(attempts), true
}

// runsOf returns the runs of a request.
func (r *record) runsOf(attempt string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []run
	for _, x := range r.runs {
		if x.attempt == attempt {
			list = append(list, x)
		}
	}
	return list
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

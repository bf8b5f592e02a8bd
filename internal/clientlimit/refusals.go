package clientlimit

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Reason says why a connection was refused or closed.
type Reason string

// The reasons.
const (
	ReasonHeaderSize    Reason = "header-size"
	ReasonHeaderTimeout Reason = "header-timeout"
	ReasonIdle          Reason = "idle"
	ReasonMemory        Reason = "memory"
	ReasonDescriptors   Reason = "descriptors"
	ReasonSlowReader    Reason = "slow-reader"
	ReasonSlowBody      Reason = "slow-body"
)

var reasons = []Reason{
	ReasonHeaderSize, ReasonHeaderTimeout, ReasonIdle, ReasonMemory, ReasonDescriptors, ReasonSlowReader, ReasonSlowBody,
}

// logInterval is the least time between two log lines of a reason.
const logInterval = time.Second

// refusals counts connections that were refused or closed.
type refusals struct {
	mutex   sync.Mutex
	reasons map[Reason]*refusal
}

// refusal has what is known of a reason.
type refusal struct {
	count, logged uint64
	loggedAt      time.Time
	// client is the address of the last client.
	client string
}

func newRefusals() *refusals {
	r := &refusals{reasons: map[Reason]*refusal{}}
	for _, reason := range reasons {
		r.reasons[reason] = &refusal{}
	}
	return r
}

// add counts a connection.
func (r *refusals) add(reason Reason, client string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reasons[reason].count++
	r.reasons[reason].client = client
}

// log logs the number of connections since the last line of each reason, at most once in logInterval. Connections that were idle for their
// time are only counted.
func (r *refusals) log(l log.Interface) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	for reason, f := range r.reasons {
		if reason == ReasonIdle || f.count == f.logged || now.Sub(f.loggedAt) < logInterval {
			continue
		}
		fields := log.Fields{"reason": reason, "count": f.count - f.logged, "last-client": f.client}
		f.logged, f.loggedAt = f.count, now
		r.mutex.Unlock() // the log may block
		l.WithFields(fields).Warn("connections of clients refused or closed")
		r.mutex.Lock()
	}
}

// write writes the numbers as metrics.
func (r *refusals) write(w io.Writer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, reason := range reasons {
		metrics.WriteCounterUint64(w, fmt.Sprintf("poplarwinch_client_refusals_total{reason=%q}", string(reason)), r.reasons[reason].count)
	}
}

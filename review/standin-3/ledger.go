//go:build review3

package main

import (
	"fmt"
	"sync"
)

// ledger has the sound requests that servers began, and those that got a whole answer with success.
type ledger struct {
	mutex          sync.Mutex
	begun, served  map[string]bool
	sent, rejected int
}

func newLedger() *ledger { return &ledger{begun: map[string]bool{}, served: map[string]bool{}} }

// begin records that a server began a request.
func (l *ledger) begin(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begun[id] = true
}

// end records the answer to a sound request.
func (l *ledger) end(id string, a answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	switch {
	case a.status == 200 && a.err == nil:
		l.served[id] = true
	case a.status == 503:
		l.rejected++
	}
}

// String says how many sound requests were lost after a server had begun them.
func (l *ledger) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lost := 0
	for id := range l.begun {
		if !l.served[id] {
			lost++
		}
	}
	return fmt.Sprintf("of %d sound requests %d were begun by a server and got no whole answer, %d were rejected with 503", l.sent, lost, l.rejected)
}

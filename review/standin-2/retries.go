//go:build review2

package main

import (
	"fmt"
	"time"
)

const (
	// maxRetries is the number of retries of a crashing request that the rule allows.
	maxRetries = 3
	deadlyBody = "deadly"
)

// judgeRetries counts the arrivals of the deadly request that were sent later than contactTime after it had crashed the third server.
func judgeRetries(record *recorder, p *pool, counts func(at time.Time) bool) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record.log("the deadly request has crashed %d servers", len(p.crashes))
	if len(p.crashes) < 3 {
		return ""
	}
	after := p.crashes[2].at.Add(contactTime)
	n := 0
	for _, a := range p.arrivals {
		if a.body == deadlyBody && a.at.After(after) && counts(a.at) {
			n++
			record.log("retry %d: %s reached %s %.1f s after the third crash", n, a.attempt, a.server, a.at.Sub(p.crashes[2].at).Seconds())
		}
	}
	record.log("retries later than %v after the third crash: %d, allowed are %d", contactTime, n, maxRetries)
	if n > maxRetries {
		return fmt.Sprintf("a request that crashes servers reached servers in %d retries later than %v after it had crashed the third", n, contactTime)
	}
	return ""
}

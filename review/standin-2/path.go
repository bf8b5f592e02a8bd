//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { plays["path"] = playPath }

// playPath sends requests whose paths have characters that clients should encode, but often don't.
func playPath(record *recorder, trouble bool) (string, error) {
	d, p, err := startSmall(record, "bookings", 1, func(*http.Request, []byte) behaviour { return behaviour{} })
	if err != nil {
		return "", err
	}
	defer d.close()
	defer p.close()
	targets := []string{"/book/clean/pod-7", "/book/clean/a%2Fb", "/book/clean/a%7Cb", "/book/clean/caf%C3%A9?x=1|2"}
	if trouble {
		targets = append(targets, "/book/clean/a|b", "/book/clean/a%2Fb|c", "/book/clean/{pod}", "/book/clean/caf\xc3\xa9", "/book/clean/%41\"")
	}
	sent := map[string]string{}
	for n, target := range targets {
		attempt := fmt.Sprintf("booking-%d", n)
		sent[attempt] = target
		status, _, err := ask(d.instances[n%len(d.instances)].CallerAddress(), "POST", target, attempt, "a booking", budget, budget+time.Second)
		record.log("client sent %s POST %s: status %d, %v", attempt, target, status, err)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	changed := 0
	for _, a := range p.arrivals {
		record.log("server %s ran %s %s %s", a.server, a.attempt, a.method, a.target)
		if a.target != sent[a.attempt] {
			changed++
		}
	}
	if changed > 0 {
		return fmt.Sprintf("servers ran %d requests with another path than the client's", changed), nil
	}
	return "", nil
}

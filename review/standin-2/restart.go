//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["deadly-restart"] = playRestart }

// restartPause is the time until the crashing request comes again.
const restartPause = 250 * time.Millisecond

// playRestart sends a request that crashes servers again and again, and kills all processes once in between.
func playRestart(record *recorder, trouble bool) (string, error) {
	d, p, err := startSmall(record, "bookings", 3, func(_ *http.Request, body []byte) behaviour {
		if string(body) == deadlyBody {
			return behaviour{crashAfter: 20 * time.Millisecond}
		}
		return behaviour{}
	})
	if err != nil {
		return "", err
	}
	defer d.close()
	defer p.close()
	n := 0
	again := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(restartPause) {
			n++
			i := d.instances[n%len(d.instances)]
			attempt := fmt.Sprintf("deadly-%d", n)
			status, text, err := ask(i.CallerAddress(), "GET", "/read/ledger", attempt, deadlyBody, budget, budget+time.Second)
			record.log("deadly request %s through %s: status %d %s %v", attempt, i.Name, status, strings.TrimSpace(text), err)
		}
	}
	again(12 * time.Second)
	started := time.Time{}
	if trouble {
		for _, i := range d.instances {
			i.signal(syscall.SIGKILL)
		}
		for _, i := range d.instances {
			<-i.ended
		}
		time.Sleep(time.Second)
		for _, i := range d.instances {
			if err := i.start(); err != nil {
				return "", err
			}
		}
		if !d.awaitReady(15 * time.Second) {
			return "", fmt.Errorf("the instances did not become ready again")
		}
		started = time.Now()
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	stop, lost := make(chan struct{}), &atomic.Int64{}
	go sound(record, d, stop, lost)
	again(15 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	record.log("sound bookings since the instances are back that got no success: %d", lost.Load())
	return judgeRetries(record, p, func(at time.Time) bool { return at.Sub(started) > contactTime || at.Before(started) }), nil
}

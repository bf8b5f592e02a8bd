//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { plays["deadly-give-up"] = playGiveUp }

const (
	// giveUpAfter is half of the objective of 300 ms, and giveUpLength the longest time of the disruption on the small sites.
	giveUpAfter  = 150 * time.Millisecond
	giveUpLength = 5500 * time.Millisecond
	// giveUpTimes is the number of times that it comes, with a pause in between.
	giveUpTimes = 3
	giveUpPause = 5 * time.Second
	// crashAfter is the time after which the request crashes a server that works on it.
	crashAfter = 250 * time.Millisecond
	// deadlyPause is the time until the request comes again. It is one of some fifty requests.
	deadlyPause = 850 * time.Millisecond
)

// playGiveUp sends a request that crashes servers some time after its client has left.
func playGiveUp(record *recorder, trouble bool) (string, error) {
	d, p, err := startSmall(record, "bookings", 3, func(_ *http.Request, body []byte) behaviour {
		if string(body) == deadlyBody {
			return behaviour{crashAfter: crashAfter, keeps: true}
		}
		return behaviour{}
	})
	if err != nil {
		return "", err
	}
	defer d.close()
	defer p.close()
	stop := make(chan struct{})
	defer close(stop)
	go sound(record, d, stop)
	leave := budget + time.Second
	if trouble {
		leave = giveUpAfter
	}
	n := 0
	for range giveUpTimes {
		for end := time.Now().Add(giveUpLength); time.Now().Before(end); time.Sleep(deadlyPause) {
			i := d.instances[n%len(d.instances)]
			attempt := fmt.Sprintf("deadly-%d", n)
			status, text, err := ask(i.CallerAddress(), "GET", "/read/ledger", attempt, deadlyBody, budget, leave)
			record.log("deadly request %s through %s: status %d %s %v", attempt, i.Name, status, strings.TrimSpace(text), err)
			n++
		}
		record.log("a pause of %v", giveUpPause)
		time.Sleep(giveUpPause)
	}
	time.Sleep(time.Second)
	return judgeRetries(record, p, func(time.Time) bool { return true }), nil
}

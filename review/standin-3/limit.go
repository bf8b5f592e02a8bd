//go:build review3

package main

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// namedLimit is the value of Server-Limit, in requests a second.
	namedLimit = 505.0
	// limitWindow, limitFactor and limitSlack are those of the rule.
	limitWindow, limitFactor, limitSlack = 4 * time.Second, 1.5, 5.0
	// offered is the number of requests that clients send in a second, and minOffered the one below which the case says nothing.
	offered, minOffered = 1000, 850
	// limitLength is the length of the load.
	limitLength = 12 * time.Second
)

// limit: a server in need names a limit of some hundred requests a second, and all clients use one machine.
func limit(w *world, trouble bool) (result, error) {
	var mutex sync.Mutex
	var arrivals []time.Duration
	one := &server{service: "plain", zone: zones[0], id: "i-plain-1", sameID: true, many: true, arrived: func(*server, *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		arrivals = append(arrivals, w.record.since())
		w.counts.add("reached the server")
	}}
	if trouble {
		one.limit = fmt.Sprintf("%.1f", namedLimit)
	}
	w.quiet, w.counts = true, &counts{values: map[string]int{}}
	if err := w.deploy(3, []string{"m"}, append((&tally{}).engines(3, false), one)...); err != nil {
		return result{}, err
	}
	sent := w.flood(w.instances[limitedInstance], limitLength)
	if float64(sent) < minOffered*limitLength.Seconds() {
		return result{}, errors.New("the clients could not send enough requests")
	}
	mutex.Lock()
	defer mutex.Unlock()
	if len(arrivals) == 0 {
		return result{}, errors.New("no request reached the server")
	}
	most := largest(arrivals, arrivals[0]+contact)
	allowed := limitFactor*namedLimit*limitWindow.Seconds() + limitSlack
	if !trouble {
		return result{verdict: fmt.Sprintf("clients sent %d requests in %s; the server named no limit and got %d in some 4 s", sent, limitLength, most)}, nil
	}
	return result{broken: float64(most) > allowed, verdict: fmt.Sprintf(
		"clients sent %d requests in %s; from 3 s after it first named %.1f a second, the server got %d in some 4 s, %.0f are allowed",
		sent, limitLength, namedLimit, most, allowed,
	)}, nil
}

// largest returns the largest number of arrivals in any window that begins after a time.
func largest(arrivals []time.Duration, after time.Duration) int {
	most, end := 0, 0
	for n, first := range arrivals {
		for end < len(arrivals) && arrivals[end] <= first+limitWindow {
			end++
		}
		if first >= after {
			most = max(most, end-n)
		}
	}
	return most
}

// flood sends requests at the offered rate on kept channels, and returns their number once all are answered.
func (w *world) flood(i *instance, length time.Duration) int {
	var all sync.WaitGroup
	start, sent, noted := time.Now(), 0, time.Now()
	for time.Since(start) < length {
		if time.Since(noted) >= time.Second {
			noted = noted.Add(time.Second)
			w.record.add("so far: %s", w.counts)
		}
		for due := int(time.Since(start).Seconds() * offered); sent < due; sent++ {
			id := fmt.Sprintf("50%06x", sent)
			q := call("/read/"+id, "body")
			q.kept = true
			all.Go(func() {
				w.counts.add("sent")
				w.counts.add(fmt.Sprintf("answered %d", w.send(i, id, q).status))
			})
		}
		time.Sleep(time.Millisecond)
	}
	all.Wait()
	w.record.add("in all: %s", w.counts)
	w.record.add("clients have sent %d requests to %s in %s", sent, i.name, time.Since(start).Round(time.Millisecond))
	return sent
}

// counts has numbers of events by their names.
type counts struct {
	mutex  sync.Mutex
	values map[string]int
}

func (c *counts) add(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values[name]++
}

// String returns the numbers, ordered by name.
func (c *counts) String() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []string
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		list = append(list, fmt.Sprintf("%d %s", c.values[name], name))
	}
	return strings.Join(list, ", ")
}

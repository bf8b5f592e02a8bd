//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contact is contact_ms of the settings.
	contact = 3 * time.Second
	// mostLater is the number of requests that may reach servers later than contact after enough crashes.
	mostLater = 3
	// partCrashes and requestCrashes are the numbers of crashes that are enough for a part of prompts and for a request.
	partCrashes, requestCrashes = 5, 3
	// badPart is the part of prompts that crashes servers, and firstPart the first part of all prompts.
	badPart, firstPart = "bad0bad0", "5c1e07a2"
	// calm is the time before the first request that crashes a server, and length that of the whole load.
	calm, length = 3 * time.Second, 28 * time.Second
	// soundInterval is the time between two sound requests to the plain service.
	soundInterval = 25 * time.Millisecond
)

// tally has the times of the crashes, and those at which requests that crash servers reached one.
type tally struct {
	mutex   sync.Mutex
	crashes []time.Duration
	reached []arrival
}

// arrival is a request that reached a server.
type arrival struct {
	at      time.Duration
	attempt string
}

// watch makes a server crash on the requests that are bad, and counts them.
func (t *tally) watch(s *server, bad func(r *http.Request) bool) {
	s.crashes = bad
	s.crashed = func(s *server, _ *http.Request) {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.crashes = append(t.crashes, s.world.record.since())
	}
	s.arrived = func(s *server, r *http.Request) {
		if !bad(r) {
			return
		}
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.reached = append(t.reached, arrival{s.world.record.since(), r.Header.Get("Attempt-Id")})
		s.world.record.add("request %s, which crashes servers, reaches %s", r.Header.Get("Attempt-Id"), s.address)
	}
}

// verdict applies the rule: at most mostLater requests reach servers later than contact after the crash that is enough.
func (t *tally) verdict(w *world, enough int) result {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count, attempts := 0, map[string]bool{}
	for _, a := range t.reached {
		if len(t.crashes) >= enough && a.at > t.crashes[enough-1]+contact {
			count++
			attempts[a.attempt] = true
		}
	}
	return result{broken: count > mostLater, verdict: fmt.Sprintf(
		"%d crashes; %d requests (of %d client attempts) that crash servers reached one later than %s after crash %d, %d are allowed; %s",
		len(t.crashes), count, len(attempts), contact, enough, mostLater, w.sound,
	)}
}

// engines returns engines that crash on prompts with badPart, spread over all zones.
func (t *tally) engines(count int, trouble bool) []*server {
	var list []*server
	for n := range count {
		s := &server{service: "pool", zone: zones[n%len(zones)], back: 3 * time.Second}
		t.watch(s, func(r *http.Request) bool { return trouble && hasPart(r, badPart) })
		list = append(list, s)
	}
	return list
}

// plain returns servers of the plain service that crash on requests for the path, spread over all zones.
func (t *tally) plain(count int, back time.Duration, path string, trouble bool) []*server {
	var list []*server
	for n := range count {
		s := &server{service: "plain", zone: zones[n%len(zones)], back: back}
		t.watch(s, func(r *http.Request) bool { return trouble && r.URL.Path == path })
		list = append(list, s)
	}
	return list
}

// prompt returns a prompt with the first part, the given parts and one of its own.
func prompt(id, model string, parts ...string) request {
	prefix := firstPart + ":40"
	for _, p := range parts {
		prefix += "," + p + ":250"
	}
	return request{
		method: http.MethodPost, path: "/chat/2f", body: "prompt " + id, model: model, tokens: "1460,400", prefix: prefix + "," + id + ":1170",
		budget: "10000", timeout: 10 * time.Second,
	}
}

// call returns a request to the plain service.
func call(path, body string) request {
	return request{method: http.MethodPost, path: path, body: body, budget: "4000", timeout: 4 * time.Second}
}

// booking returns a sound request that must not be repeated.
func booking(_ int, id string) request { return call("/book/"+id, "body of "+id) }

// models: a part of prompts crashes servers, whatever else the request holds, and comes with the names of several models.
func models(w *world, trouble bool) (result, error) {
	names := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	t := &tally{}
	if err := w.deploy(3, names, t.engines(12, trouble)...); err != nil {
		return result{}, err
	}
	var all sync.WaitGroup
	all.Go(func() {
		w.load(soundName, 100*time.Millisecond, length, func(n int, id string) request { return prompt(id, names[n%len(names)]) })
	})
	time.Sleep(calm)
	w.load(badName, 500*time.Millisecond, length-calm, func(n int, id string) request { return prompt(id, names[n%len(names)], badPart) })
	all.Wait()
	return t.verdict(w, partCrashes), nil
}

// pairs: a request crashes the servers that run it, and a failure domain has two servers.
func pairs(w *world, trouble bool) (result, error) {
	t := &tally{}
	servers := t.plain(2, 3*time.Second, "/read/deadly", trouble)
	for _, s := range servers {
		s.zone = zones[0]
	}
	for n, s := range (&tally{}).engines(4, false) {
		s.zone = zones[1+n%2]
		servers = append(servers, s)
	}
	if err := w.deploy(3, []string{"m"}, servers...); err != nil {
		return result{}, err
	}
	var all sync.WaitGroup
	all.Go(func() { w.load(soundName, soundInterval, length, booking) })
	time.Sleep(calm)
	w.load(badName, 4*time.Second, length-calm, func(int, string) request { return call("/read/deadly", "deadly body") })
	all.Wait()
	return t.verdict(w, requestCrashes), nil
}

// sameID: a request crashes the servers that run it, which start again under the ids that they had.
func sameID(w *world, trouble bool) (result, error) {
	t := &tally{}
	servers := t.plain(2, 2*time.Second, "/read/deadly", trouble)
	for _, s := range servers {
		s.sameID = true
	}
	servers = append(servers, (&tally{}).engines(3, false)...)
	if err := w.deploy(3, []string{"m"}, servers...); err != nil {
		return result{}, err
	}
	var all sync.WaitGroup
	all.Go(func() {
		w.load(soundName, soundInterval, length, booking)
	})
	time.Sleep(calm)
	w.load(badName, 250*time.Millisecond, length-calm, func(int, string) request { return call("/read/deadly", "deadly body") })
	all.Wait()
	return t.verdict(w, requestCrashes), nil
}

// copies: a request that must not be repeated crashes the servers that run it, and its client sends several copies at once.
func copies(w *world, trouble bool) (result, error) {
	t := &tally{}
	servers := t.plain(6, 3*time.Second, "/book/deadly", trouble)
	for _, s := range servers {
		s.runsFor = 50 * time.Millisecond
	}
	servers = append(servers, (&tally{}).engines(6, false)...)
	if err := w.deploy(3, []string{"m"}, servers...); err != nil {
		return result{}, err
	}
	var all sync.WaitGroup
	all.Go(func() {
		w.load(soundName, soundInterval, length, booking)
	})
	time.Sleep(calm)
	for volley := range 4 {
		for n := range 12 {
			id := fmt.Sprintf("%s%02x%02x", badName, volley, n)
			i := w.instances[n%len(w.instances)]
			all.Go(func() { w.send(i, id, call("/book/deadly", "deadly body")) })
		}
		time.Sleep(5 * time.Second)
	}
	all.Wait()
	return t.verdict(w, requestCrashes), nil
}

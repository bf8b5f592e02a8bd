//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, body string
	model, tokens      string
	prefix             string
	budget             string
	timeout            time.Duration
	// kept says that the channel is used for many requests.
	kept bool
}

// answer is what the client got; the status is zero if there was none.
type answer struct {
	status int
	body   string
	err    error
}

// fresh opens a new channel for each request, and kept keeps channels open for many.
var (
	fresh = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	kept  = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200}}
)

// send sends a request to an instance under an id and records the answer.
func (w *world) send(i *instance, id string, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+i.front()+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "a.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Token key-1")
	r.Header.Set("Time-Budget-Ms", q.budget)
	if q.model != "" {
		r.Header.Set("Model", q.model)
		r.Header.Set("Token-Count", q.tokens)
		r.Header.Set("Prompt-Prefix", q.prefix)
	}
	w.detail("client sends %s to %s: %s %s %s %s", id, i.name, q.method, q.path, q.model, q.prefix)
	client := fresh
	if q.kept {
		client = kept
	}
	response, err := client.Do(r)
	if err != nil {
		w.detail("client gets nothing for %s: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	w.detail("client gets %d for %s, %d bytes, error %v", response.StatusCode, id, len(body), err)
	return answer{status: response.StatusCode, body: string(body), err: err}
}

// soundName begins the ids of sound requests, and badName those of requests that crash servers.
const soundName, badName = "50", "ba"

// load sends requests at an interval, to one instance after the other, until the length has passed, and waits for their answers.
func (w *world) load(name string, interval, length time.Duration, make func(n int, id string) request) {
	var all sync.WaitGroup
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s%04x", name, n)
		i := w.instances[n%len(w.instances)]
		q := make(n, id)
		all.Go(func() {
			a := w.send(i, id, q)
			if name == soundName {
				w.sound.end(id, a)
			}
		})
		time.Sleep(interval)
	}
	all.Wait()
}

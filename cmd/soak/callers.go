package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

const (
	callerCount = 48
	// probedInstances is the largest number of instances with probes.
	probedInstances = 12
	// probesPerInstance is the number of probes of an instance, all but the first of which hold back half of each request.
	probesPerInstance = 2
	maxProbePause     = 200 * time.Millisecond
	maxHold           = 900 * time.Millisecond
	// thinkTime is the longest time between two requests of a caller.
	thinkTime = 300 * time.Millisecond
	// badShare is the share of prompts with crashingPart.
	badShare = 0.05
	// balancerInterval is the time between two readiness questions of the load balancer, and balancerMisses the number of misses after
	// which an instance gets no new connections.
	balancerInterval = 500 * time.Millisecond
	balancerMisses   = 2
	// settleTime is the time after the last fault until the deployment must serve as usual, and watchTime the time for which it is
	// then watched.
	settleTime = 12 * time.Second
	watchTime  = 4 * time.Second
)

// result is one request of a caller and its answer.
type result struct {
	request  emulator.Request
	answer   emulator.Answer
	instance string
	from     time.Time
	until    time.Time
	bad      bool
	// marker is the configuration that has the request's route or key, by its number; only probes have one.
	marker int
}

// callers send requests on kept connections until the process at the other end is gone.
type callers struct {
	deployment *deployment
	cancel     context.CancelFunc
	running    sync.WaitGroup
	// recoveredFrom is the time from which the deployment must serve as usual.
	recoveredFrom time.Time

	mutex  sync.Mutex
	list   []result
	probes []result
	// misses has the readiness misses in a row of each instance.
	misses []int
}

func startCallers(ctx context.Context, d *deployment, seed uint64) *callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &callers{deployment: d, cancel: cancel, misses: make([]int, len(d.instances))}
	for n := range d.instances {
		c.running.Go(func() { c.runBalancer(ctx, n) })
		if n >= probedInstances {
			continue
		}
		for k := range probesPerInstance {
			random := rand.New(rand.NewPCG(seed, 1000+uint64(n*probesPerInstance+k)))
			c.running.Go(func() { c.runProbe(ctx, d.instances[n], fmt.Sprintf("p%d%d", n, k), k > 0, random) })
		}
	}
	for n := range callerCount {
		random := rand.New(rand.NewPCG(seed, 100+uint64(n)))
		c.running.Go(func() { c.runCaller(ctx, n, random) })
	}
	return c
}

// runBalancer asks one instance for its readiness until ctx ends.
func (c *callers) runBalancer(ctx context.Context, n int) {
	for ctx.Err() == nil {
		ready := isReady(ctx, c.deployment.instances[n].ReadinessURL())
		c.mutex.Lock()
		c.misses[n]++
		if ready {
			c.misses[n] = 0
		}
		c.mutex.Unlock()
		select {
		case <-time.After(balancerInterval):
		case <-ctx.Done():
		}
	}
}

// choose returns the instance that gets a caller's next new connection.
func (c *callers) choose(random *rand.Rand) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var list []int
	for n, misses := range c.misses {
		if misses < balancerMisses {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return random.IntN(len(c.misses))
	}
	return list[random.IntN(len(list))]
}

// runCaller sends requests one after the other until ctx ends.
func (c *callers) runCaller(ctx context.Context, n int, random *rand.Rand) {
	instance := c.choose(random)
	var transport *http.Transport
	reconnect := func() {
		if transport != nil {
			transport.CloseIdleConnections()
		}
		instance = c.choose(random)
		transport = &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxConnsPerHost: 1}
	}
	reconnect()
	for k := 0; ctx.Err() == nil; k++ {
		q := nextRequest(random, fmt.Sprintf("c%d-%d", n, k))
		p := c.deployment.instances[instance]
		r := result{request: q, instance: p.Name, from: time.Now(), bad: len(q.Parts) == 3}
		r.answer = emulator.Send(ctx, &http.Client{Transport: transport}, p.CallerAddress(), q)
		r.until = time.Now()
		if ctx.Err() != nil {
			break
		}
		c.mutex.Lock()
		c.list = append(c.list, r)
		c.mutex.Unlock()
		if r.answer.Err != nil || r.answer.Status >= http.StatusInternalServerError || random.IntN(20) == 0 {
			reconnect()
		}
		select {
		case <-time.After(time.Duration(random.Int64N(int64(thinkTime)))):
		case <-ctx.Done():
		}
	}
	transport.CloseIdleConnections()
}

// runProbe asks one instance, on a kept connection, for what only some configurations have, until ctx ends.
func (c *callers) runProbe(ctx context.Context, p *instance, name string, holds bool, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for k := 0; ctx.Err() == nil; k++ {
		versions := c.deployment.configurations()
		marker := max(1, len(versions)-random.IntN(markerCount+2))
		q := emulator.Request{Attempt: fmt.Sprintf("%s-%d", name, k), Kind: emulator.KindIdempotent, Timeout: 4 * time.Second}
		if random.IntN(2) == 0 {
			q.Path = emulator.MarkerPath(versions[marker-1])
		} else {
			q.Key = emulator.MarkerKey(versions[marker-1])
		}
		if holds {
			q.Hold = time.Duration(random.Int64N(int64(maxHold)))
		}
		r := result{request: q, instance: p.Name, from: time.Now(), marker: marker}
		r.answer = emulator.Send(ctx, client, p.CallerAddress(), q)
		r.until = time.Now()
		if ctx.Err() != nil {
			return
		}
		c.mutex.Lock()
		c.probes = append(c.probes, r)
		c.mutex.Unlock()
		select {
		case <-time.After(time.Duration(random.Int64N(int64(maxProbePause)))):
		case <-ctx.Done():
		}
	}
}

// nextRequest draws a request.
func nextRequest(random *rand.Rand, attempt string) emulator.Request {
	switch x := random.Float64(); {
	case x < 0.15:
		return emulator.Request{Attempt: attempt, Kind: emulator.KindNonIdempotent, Timeout: 4 * time.Second}
	case x < 0.3:
		return emulator.Request{Attempt: attempt, Kind: emulator.KindIdempotent, Timeout: 4 * time.Second}
	}
	q := emulator.Request{Attempt: attempt, Kind: emulator.KindStreaming, Parts: []string{"instructions", "own-" + attempt}, Timeout: 10 * time.Second}
	if random.Float64() < badShare {
		q.Parts = []string{"instructions", crashingPart, "own-" + attempt}
	}
	return q
}

// awaitRecovery waits until the deployment had time to settle and was watched for a while.
func (c *callers) awaitRecovery(ctx context.Context) {
	c.recoveredFrom = time.Now().Add(settleTime)
	select {
	case <-time.After(settleTime + watchTime):
	case <-ctx.Done():
	}
}

func (c *callers) stop() {
	c.cancel()
	c.running.Wait()
}

// outcome is everything that the callers saw.
type outcome struct {
	results       []result
	probes        []result
	recoveredFrom time.Time
}

func (c *callers) results() outcome {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return outcome{results: append([]result{}, c.list...), probes: append([]result{}, c.probes...), recoveredFrom: c.recoveredFrom}
}

// closedWithoutAnswer reports whether the connection ended before or within the answer.
func (r *result) closedWithoutAnswer() bool {
	return r.answer.Err != nil && !errors.Is(r.answer.Err, context.DeadlineExceeded)
}

// Package engine emulates a model engine: continuous batching, prefix cache, KV memory, resumable streams, placement
// orders, and faults that can be changed at run time.
package engine

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// Engine is an emulated model engine and an http.Handler.
type Engine struct {
	config         config
	mux            *http.ServeMux
	connections    fault.Connections
	groupTransport *http.Transport
	wake           chan struct{}
	cancel         context.CancelFunc
	closed         <-chan struct{}

	mutex     sync.Mutex
	faults    Faults
	record    Record
	random    *rand.Rand
	boot      *boot
	bootCount int
}

// New starts an engine; Close stops it.
func New(opts ...Option) *Engine {
	c := newConfig(opts)
	ctx, cancel := context.WithCancel(context.Background())
	e := newEngine(c, cancel, ctx.Done())
	go e.runScheduler(ctx)
	return e
}

// newEngine returns an engine whose scheduler has not been started.
func newEngine(c config, cancel context.CancelFunc, closed <-chan struct{}) *Engine {
	e := &Engine{
		config: c, wake: make(chan struct{}, 1), cancel: cancel, closed: closed,
		groupTransport: &http.Transport{DisableKeepAlives: true},
		random:         rand.New(rand.NewPCG(c.seed, 0)),
	}
	e.mux = e.routes()
	e.Restart()
	return e
}

// Close stops the engine and aborts all requests.
func (e *Engine) Close() {
	e.cancel()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.boot.stop()
}

// Restart stops the engine if it is running and starts it with a new boot id and empty memory. Faults and the record
// are kept.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.boot != nil {
		e.boot.stop()
	}
	e.bootCount++
	e.boot = newBoot(&e.config, e.bootCount)
}

// Crash stops the engine: all connections are aborted until Restart.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.boot.stop()
}

// Active returns the number of waiting and running prompts.
func (e *Engine) Active() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.boot.waiting) + len(e.boot.running)
}

// ConnState must be set as http.Server.ConnState; Faults.StallConnections relies on it.
func (e *Engine) ConnState(n net.Conn, s http.ConnState) { e.connections.ConnState(n, s) }

// ServeHTTP serves the engine protocol, /faults and /record.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	stopped, f := e.boot.stopped, e.faults
	e.mutex.Unlock()
	stalled := e.connections.Stalled(r)
	select {
	case <-stopped:
		panic(http.ErrAbortHandler)
	case <-stalled:
		e.stall(r, stopped)
	default:
	}
	if r.URL.Path != "/faults" && r.URL.Path != "/record" {
		if f.Hang {
			e.hang(r, stopped)
		}
		if f.Delay > 0 {
			_ = e.config.clock.Sleep(r.Context(), f.Delay)
		}
	}
	if e.dropsControlReply(r) {
		e.mux.ServeHTTP(discardResponseWriter{}, r)
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) dropsControlReply(r *http.Request) bool {
	if r.Method == http.MethodGet || !strings.HasPrefix(r.URL.Path, "/kv/") && r.URL.Path != "/orders" {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults.DropControlReply.Take()
}

// hang leaves a request unanswered until its connection is closed or the engine stops, and aborts it.
func (e *Engine) hang(r *http.Request, stopped <-chan struct{}) {
	// net/http detects a closed connection only after the request body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-stopped:
	case <-e.closed:
	}
	panic(http.ErrAbortHandler)
}

// stall leaves the rest of the request unread and aborts it after one minute, because net/http does not detect that
// the client closed a connection whose request body is unread.
func (e *Engine) stall(r *http.Request, stopped <-chan struct{}) {
	timeout, stop := e.config.clock.After(clock.Minute)
	defer stop()
	select {
	case <-r.Context().Done():
	case <-timeout:
	case <-stopped:
	case <-e.closed:
	}
	panic(http.ErrAbortHandler)
}

func (e *Engine) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/completions", e.postCompletions)
	m.HandleFunc("POST /v1/chat/completions", e.postChatCompletions)
	m.HandleFunc("GET /v1/streams/{id}", e.getStream)
	m.HandleFunc("DELETE /v1/streams/{id}", e.deleteStream)
	m.HandleFunc("PUT /kv/reservations/{id}", e.putReservation)
	m.HandleFunc("GET /kv/reservations", e.getReservations)
	m.HandleFunc("DELETE /kv/reservations/{id}", e.deleteReservation)
	m.HandleFunc("POST /kv/exports", e.postExport)
	m.HandleFunc("GET /kv/exports", e.getExports)
	m.HandleFunc("GET /kv/exports/{id}", e.getExport)
	m.HandleFunc("DELETE /kv/exports/{id}", e.deleteExport)
	m.HandleFunc("POST /kv/imports", e.postImport)
	m.HandleFunc("GET /kv/events", e.getEvents)
	m.HandleFunc("GET /metrics", e.getMetrics)
	m.HandleFunc("GET /health", e.getHealth)
	m.HandleFunc("PUT /orders", e.putOrder)
	fault.Handler[Faults]{Get: e.Faults, Set: e.setFaults}.Register(m)
	m.HandleFunc("GET /record", e.getRecord)
	return m
}

// signal wakes the scheduler.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// refuse rejects a request that has not run.
func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Refused", "true")
	http.Error(w, text, status)
}

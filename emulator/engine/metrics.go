package engine

import (
	"fmt"
	"net/http"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// loadSample is the load at a point in time.
type loadSample struct {
	at                                clock.Millis
	running, waiting                  int
	waitingPrefill, used, prefixCache poplarwinch.Tokens
}

func (b *boot) currentLoad(now clock.Millis) loadSample {
	x := loadSample{at: now, running: len(b.running), waiting: len(b.waiting), used: b.kvMemory.used(), prefixCache: b.kvMemory.cached()}
	for _, s := range b.waiting {
		x.waitingPrefill += s.promptTokens
	}
	for _, s := range b.running {
		x.waitingPrefill += s.prefillRemaining
	}
	return x
}

// recordLoad stores the current load for metrics that lag by loadLag. Without a lag it drops all samples.
func (b *boot) recordLoad(now, loadLag clock.Millis) {
	if loadLag <= 0 {
		b.samples = nil
		return
	}
	b.samples = append(b.samples, b.currentLoad(now))
	b.pruneSamples(now - loadLag)
}

// pruneSamples drops the samples older than the latest one taken at or before the given time.
func (b *boot) pruneSamples(before clock.Millis) {
	for len(b.samples) > 1 && b.samples[1].at <= before {
		b.samples = b.samples[1:]
	}
}

func (e *Engine) getMetrics(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	b, now, lag := e.boot, e.config.clock.Now(), e.faults.LoadLag
	x, age := b.currentLoad(now), clock.Millis(0)
	if lag > 0 {
		b.pruneSamples(now - lag)
		age = lag
		if len(b.samples) > 0 {
			x = b.samples[0]
		}
	}
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintf(w, "engine_running_requests %d\nengine_waiting_requests %d\n", x.running, x.waiting)
	fmt.Fprintf(w, "engine_waiting_prefill_tokens %d\nengine_kv_used_tokens %d\n", x.waitingPrefill, x.used)
	fmt.Fprintf(w, "engine_kv_cached_tokens %d\nengine_kv_capacity_tokens %d\n", x.prefixCache, e.config.kvCapacity)
	fmt.Fprintf(w, "engine_prefill_tokens_per_second %d\nengine_report_age_ms %d\n", e.config.prefillTokensPerSecond, age)
}

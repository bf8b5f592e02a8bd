package engine

import (
	"fmt"
	"net/http"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// sample is the load at one time.
type sample struct {
	at                       clock.Millis
	running, waiting         int
	waitingPrefill, used, kv poplarwinch.Tokens
}

func (b *boot) measure(now clock.Millis) sample {
	x := sample{at: now, running: len(b.running), waiting: len(b.waiting), used: b.memory.used(), kv: b.memory.cached()}
	for _, s := range b.waiting {
		x.waitingPrefill += s.tokens
	}
	for _, s := range b.running {
		x.waitingPrefill += s.prefillLeft
	}
	return x
}

// sample keeps the present load for reports that lag behind by lag.
func (b *boot) sample(now, lag clock.Millis) {
	if lag <= 0 {
		b.samples = nil
		return
	}
	b.samples = append(b.samples, b.measure(now))
	b.prune(now - lag)
}

// prune drops samples that are older than the last one before the given time.
func (b *boot) prune(before clock.Millis) {
	for len(b.samples) > 1 && b.samples[1].at <= before {
		b.samples = b.samples[1:]
	}
}

func (e *Engine) getMetrics(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	b, now, lag := e.boot, e.config.clock.Now(), e.faults.LoadLag
	x, age := b.measure(now), clock.Millis(0)
	if lag > 0 {
		b.prune(now - lag)
		age = lag
		if len(b.samples) > 0 {
			x = b.samples[0]
		}
	}
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintf(w, "engine_running_requests %d\nengine_waiting_requests %d\n", x.running, x.waiting)
	fmt.Fprintf(w, "engine_waiting_prefill_tokens %d\nengine_kv_used_tokens %d\n", x.waitingPrefill, x.used)
	fmt.Fprintf(w, "engine_kv_cached_tokens %d\nengine_kv_capacity_tokens %d\n", x.kv, e.config.capacity)
	fmt.Fprintf(w, "engine_prefill_tokens_per_second %d\nengine_report_age_ms %d\n", e.config.prefillTokensPerSecond, age)
}

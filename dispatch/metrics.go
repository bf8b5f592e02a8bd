package dispatch

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// requestMetrics records the numbers of requests and attempts, and the latency of requests.
type requestMetrics struct {
	set *metrics.Set
}

func newMetrics() *requestMetrics { return &requestMetrics{set: metrics.NewSet()} }

// requestEnded records the result and latency of a request; first is the time to its first event, or zero.
func (m *requestMetrics) requestEnded(service poplarwinch.ServiceName, result string, first, total clock.Millis) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_requests_total{service=%q,result=%q}`, service, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`poplarwinch_request_seconds{service=%q}`, service)).Update(float64(total) / 1000)
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`poplarwinch_first_event_seconds{service=%q}`, service)).Update(float64(first) / 1000)
	}
}

// predictionEnded records the ratio of an actual time to its prediction, if both are known.
func (m *requestMetrics) predictionEnded(service poplarwinch.ServiceName, predicted, actual clock.Millis) {
	if predicted > 0 && actual > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`poplarwinch_prediction_ratio{service=%q}`, service)).Update(float64(actual) / float64(predicted))
	}
}

// attemptEnded records the result of an attempt.
func (m *requestMetrics) attemptEnded(service poplarwinch.ServiceName, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_attempts_total{service=%q,result=%q}`, service, result)).Inc()
}

// crashRecorded counts a crash of a server during a request.
func (m *requestMetrics) crashRecorded(service poplarwinch.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_crashes_recorded_total{service=%q}`, service)).Inc()
}

// outageDecided counts an outage of a server that broke off attempts, by what has shown whether it crashed.
func (m *requestMetrics) outageDecided(found evidence) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_outages_decided_total{evidence=%q}`, found)).Inc()
}

// brokenAttemptDropped counts a broken attempt that was dropped before it was known whether its server crashed, because there were too many.
func (m *requestMetrics) brokenAttemptDropped(service poplarwinch.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_broken_attempts_dropped_total{service=%q}`, service)).Inc()
}

// heldByCold counts a decision that was held back because servers are cold.
func (m *requestMetrics) heldByCold(service poplarwinch.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_decisions_held_by_cold_servers_total{service=%q}`, service)).Inc()
}

// partsUnidentified counts parts of prompts to which a crash can't be attributed.
func (m *requestMetrics) partsUnidentified(service poplarwinch.ServiceName, count int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_unidentified_parts_total{service=%q}`, service)).Add(count)
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (d *Dispatcher) WriteMetrics(w io.Writer) { d.metrics.set.WritePrometheus(w) }

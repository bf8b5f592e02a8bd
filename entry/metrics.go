package entry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// requestMetrics counts requests and measures their latency. Each server has a metrics set of its own, so that several
// servers can run in one test process.
type requestMetrics struct {
	set      *metrics.Set
	rejected sync.Map // poplarwinch.Kind to *atomic.Uint64
}

func newMetrics() *requestMetrics {
	return &requestMetrics{set: metrics.NewSet()}
}

// requestEnded counts a finished request and records its latency.
func (m *requestMetrics) requestEnded(class string, outcome poplarwinch.Outcome, kind poplarwinch.Kind, firstToken, total clock.Millis) {
	if class == "" {
		class = "none"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_requests_total{class=%q,outcome=%q,kind=%q}`, class, outcome, kind)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`poplarwinch_request_seconds{class=%q}`, class)).Update(float64(total) / 1000)
	if firstToken > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`poplarwinch_first_token_seconds{class=%q}`, class)).Update(float64(firstToken) / 1000)
	}
	if outcome == poplarwinch.OutcomeNotRun {
		count, _ := m.rejected.LoadOrStore(kind, &atomic.Uint64{})
		count.(*atomic.Uint64).Add(1)
	}
}

func (m *requestMetrics) rejections() map[poplarwinch.Kind]uint64 {
	counts := map[poplarwinch.Kind]uint64{}
	m.rejected.Range(func(kind, count any) bool {
		counts[kind.(poplarwinch.Kind)] = count.(*atomic.Uint64).Load()
		return true
	})
	return counts
}

// WriteMetrics writes the request metrics in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) { s.metrics.set.WritePrometheus(w) }

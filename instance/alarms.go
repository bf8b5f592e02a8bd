package instance

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/configuration"
)

// alarms counts broken invariants and configuration alarms, which operators must look at.
type alarms struct {
	set    *metrics.Set
	mutex  sync.Mutex
	counts map[string]uint64
}

func newAlarms() *alarms {
	return &alarms{set: metrics.NewSet(), counts: map[string]uint64{}}
}

// violated reports a broken invariant.
func (a *alarms) violated(name, detail string) {
	log.WithField("invariant", name).WithField("detail", detail).Error("invariant broken")
	a.add("invariant", name)
}

// configuration counts an alarm of the configuration store, which logs it itself.
func (a *alarms) configuration(alarm configuration.Alarm) { a.add("configuration", string(alarm)) }

func (a *alarms) add(kind, name string) {
	a.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_alarms_total{kind=%q,name=%q}`, kind, name)).Inc()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts[kind+"/"+name]++
}

// snapshot returns the number of alarms by kind and name.
func (a *alarms) snapshot() map[string]uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	out := make(map[string]uint64, len(a.counts))
	for name, n := range a.counts {
		out[name] = n
	}
	return out
}

func (a *alarms) write(w io.Writer) { a.set.WritePrometheus(w) }

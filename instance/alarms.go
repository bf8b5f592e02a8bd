package instance

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/operator"
)

// alarms counts invariant violations and alarms of the configuration store for the metrics and the status.
type alarms struct {
	set    *metrics.Set
	mutex  sync.Mutex
	clock  *clock.Clock
	raised map[string]*raised
}

// raised is an alarm that occurred at least once; message is the latest one and since the time of the first.
type raised struct {
	message string
	count   uint64
	since   clock.Millis
}

func newAlarms(c *clock.Clock) *alarms {
	return &alarms{set: metrics.NewSet(), clock: c, raised: map[string]*raised{}}
}

// reportInvariant logs and counts an invariant violation.
func (a *alarms) reportInvariant(name, detail string) {
	log.WithField("invariant", name).WithField("detail", detail).Error("invariant broken")
	a.add("invariant", name, "broken invariant: "+detail)
}

// configuration counts an alarm of the configuration store. The store itself logs it.
func (a *alarms) configuration(alarm configuration.Alarm) {
	a.add("configuration", string(alarm), "see the log for the versions")
}

func (a *alarms) add(kind, name, message string) {
	a.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_alarms_total{kind=%q,name=%q}`, kind, name)).Inc()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := a.raised[kind+"/"+name]
	if found == nil {
		found = &raised{since: a.clock.Now()}
		a.raised[kind+"/"+name] = found
	}
	found.message = message
	found.count++
}

// list returns the alarms since the start of the instance, sorted by name.
func (a *alarms) list() []operator.Alarm {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	list := make([]operator.Alarm, 0, len(a.raised))
	for name, r := range a.raised {
		list = append(list, operator.Alarm{Name: name, Message: fmt.Sprintf("%s (%d times)", r.message, r.count), Since: r.since})
	}
	slices.SortFunc(list, func(x, y operator.Alarm) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

func (a *alarms) write(w io.Writer) { a.set.WritePrometheus(w) }

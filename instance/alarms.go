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

// alarms counts broken invariants and configuration alarms, which operators must look at.
type alarms struct {
	set    *metrics.Set
	mutex  sync.Mutex
	clock  *clock.Clock
	raised map[string]*raised
}

// raised is an alarm that was raised at least once.
type raised struct {
	message string
	count   uint64
	since   clock.Millis
}

func newAlarms(c *clock.Clock) *alarms {
	return &alarms{set: metrics.NewSet(), clock: c, raised: map[string]*raised{}}
}

// violated reports a broken invariant.
func (a *alarms) violated(name, detail string) {
	log.WithField("invariant", name).WithField("detail", detail).Error("invariant broken")
	a.add("invariant", name, "broken invariant: "+detail)
}

// configuration counts an alarm of the configuration store, which logs it itself.
func (a *alarms) configuration(alarm configuration.Alarm) {
	a.add("configuration", string(alarm), "see the log for the versions")
}

func (a *alarms) add(kind, name, message string) {
	a.set.GetOrCreateCounter(fmt.Sprintf(`poplarwinch_alarms_total{kind=%q,name=%q}`, kind, name)).Inc()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	r := a.raised[kind+"/"+name]
	if r == nil {
		r = &raised{since: a.clock.Now()}
		a.raised[kind+"/"+name] = r
	}
	r.message = message
	r.count++
}

// list returns the alarms since the start, in order of their names.
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

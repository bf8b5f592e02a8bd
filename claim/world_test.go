package claim_test

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/objects"
	"github.com/poplarwinch/poplarwinch/table"
)

// callTimeout is the time limit of a table call.
const callTimeout = clock.Second

var errFault = errors.New("injected fault")

// world is the platform of a scenario. It runs inside a synctest bubble, so its time is virtual.
type world struct {
	scenario scenario
	clock    *clock.Clock
	start    clock.Millis
	late     sync.WaitGroup

	mutex      sync.Mutex
	operations int
	rows       map[string]table.Row
	objects    map[string][]byte
	sends      map[string][]string
	violations []string
}

func newWorld(s scenario) *world {
	c := clock.System()
	return &world{
		scenario: s, clock: c, start: c.Now(), rows: map[string]table.Row{}, objects: map[string][]byte{},
		sends: map[string][]string{},
	}
}

func (w *world) now() clock.Millis { return w.clock.Now() - w.start }

func (w *world) violate(text string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, text)
}

// pass holds up an instance that is paused and ends the goroutine of one that is dead.
func (w *world) pass(instance int) {
	if p := w.scenario.pauses[instance]; w.now() >= p.from && w.now() < p.to {
		time.Sleep((p.to - w.now()).Duration())
	}
	if death := w.scenario.deaths[instance]; death > 0 && w.now() >= death {
		runtime.Goexit()
	}
}

// next returns the effect of the operation that starts now.
func (w *world) next() effect {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	n := w.operations
	w.operations++
	for _, o := range w.scenario.outages {
		if w.now() >= o.from && w.now() < o.to {
			return effect{what: []string{"dropped", "rejected"}[n%2]}
		}
	}
	if n < len(w.scenario.effects) && w.now() < quiet/2 {
		return w.scenario.effects[n]
	}
	return effect{what: "ok"}
}

// call runs apply as the effect of a call of an instance. It returns errFault if there is no reply; rejected says that
// the call certainly has no effect.
func (w *world) call(ctx context.Context, instance int, apply func()) (rejected bool, err error) {
	w.pass(instance)
	defer w.pass(instance)
	if ctx.Err() != nil {
		return true, ctx.Err()
	}
	e := w.next()
	time.Sleep(2 * time.Millisecond)
	switch e.what {
	case "rejected":
		return true, errFault
	case "late":
		w.late.Go(func() {
			time.Sleep(e.late.Duration())
			apply()
		})
	case "ok", "lost reply":
		apply()
	}
	if e.what == "ok" {
		return false, nil
	}
	_ = w.clock.Sleep(ctx, callTimeout)
	return false, errFault
}

func (w *world) get(ctx context.Context, instance int, key string) (table.Row, bool, error) {
	// A late call writes these variables after the return.
	var row table.Row
	var exists bool
	if _, err := w.call(ctx, instance, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		row, exists = w.rows[key]
	}); err != nil {
		return table.Row{}, false, &table.UnavailableError{Key: key, Cause: err}
	}
	return row, exists, nil
}

func (w *world) put(ctx context.Context, instance int, row table.Row, condition table.Condition) error {
	var failed bool
	rejected, err := w.call(ctx, instance, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		current, exists := w.rows[row.Key]
		if failed = !condition.Holds(current, exists); !failed {
			w.rows[row.Key] = row
		}
	})
	switch {
	case rejected:
		return &table.UnavailableError{Key: row.Key, Cause: err}
	case err != nil:
		return &table.UncertainError{Key: row.Key, Cause: err}
	case failed:
		return table.ErrConditionFailed
	}
	return nil
}

func (w *world) getObject(ctx context.Context, instance int, key string) ([]byte, error) {
	var data []byte
	if _, err := w.call(ctx, instance, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		data = w.objects[key]
	}); err != nil {
		return nil, &objects.UnavailableError{Key: key, Cause: err}
	}
	if data == nil {
		return nil, objects.ErrNotFound
	}
	return data, nil
}

func (w *world) putObject(ctx context.Context, instance int, key string, data []byte) error {
	var exists bool
	if _, err := w.call(ctx, instance, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if _, exists = w.objects[key]; !exists {
			w.objects[key] = data
		}
	}); err != nil {
		return &objects.UncertainError{Key: key, Cause: err}
	}
	if exists {
		return objects.ErrExists
	}
	return nil
}

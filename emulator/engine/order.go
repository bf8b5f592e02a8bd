package engine

import (
	"net/http"
	"slices"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// order is the body of PUT /orders.
type order struct {
	FencingToken uint64       `json:"fencing-number"`
	ValidUntil   clock.Millis `json:"valid-until-ms"`
	Role         string       `json:"role"`
	Models       []Model      `json:"models"`
}

// loading is a model that is being loaded and becomes available at readyAt.
type loading struct {
	model   Model
	readyAt clock.Millis
}

// finishLoads makes the models available that have finished loading.
func (b *boot) finishLoads(now clock.Millis) {
	b.loading = slices.DeleteFunc(b.loading, func(l loading) bool {
		if l.readyAt > now {
			return false
		}
		b.models = append(slices.Clone(b.models), l.model)
		return true
	})
}

func (e *Engine) putOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := fault.Decode(w, r, 1<<20, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	b, now := e.boot, e.config.clock.Now()
	rejection := ""
	switch {
	case now > o.ValidUntil:
		rejection = "the order has expired"
	case e.config.checksFencing && !e.faults.IgnoreFencing && o.FencingToken < b.fencingNumber:
		rejection = "the fencing number is stale"
	}
	e.record.Orders = append(e.record.Orders, RecordedOrder{
		At: now, FencingToken: o.FencingToken, Accepted: rejection == "", Role: o.Role, Models: o.Models,
	})
	if rejection != "" {
		http.Error(w, rejection, http.StatusPreconditionFailed)
		return
	}
	b.fencingNumber = max(b.fencingNumber, o.FencingToken)
	b.apply(o, now, e.config.loadTime)
	fault.WriteJSON(w, http.StatusOK, struct{}{})
}

// apply unloads the models that the order does not name and starts to load the missing ones. A model whose version or
// adapters differ counts as missing.
func (b *boot) apply(o order, now, loadTime clock.Millis) {
	b.finishLoads(now)
	if o.Role != "" {
		b.role = o.Role
	}
	wanted := func(m Model) bool {
		return slices.ContainsFunc(o.Models, func(x Model) bool { return x.equal(m) })
	}
	b.models = slices.DeleteFunc(slices.Clone(b.models), func(m Model) bool { return !wanted(m) })
	b.loading = slices.DeleteFunc(b.loading, func(l loading) bool { return !wanted(l.model) })
	for _, m := range o.Models {
		m = m.normalized()
		present := func(x Model) bool { return x.equal(m) }
		if slices.ContainsFunc(b.models, present) || slices.ContainsFunc(b.loading, func(l loading) bool { return present(l.model) }) {
			continue
		}
		b.loading = append(b.loading, loading{model: m, readyAt: now + loadTime})
	}
	b.finishLoads(now)
}

package engine

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// reservation is KV memory reserved for an owner. It exists until it is deleted, even past its deadline.
type reservation struct {
	ID       string             `json:"id"`
	Owner    string             `json:"owner"`
	Request  string             `json:"request"`
	Tokens   poplarwinch.Tokens `json:"tokens"`
	Deadline clock.Millis       `json:"deadline-ms"`
	// inUse is the part that running sequences use.
	inUse   poplarwinch.Tokens
	deleted bool
}

// available returns the part that no sequence uses.
func (r *reservation) available() poplarwinch.Tokens {
	if r.deleted {
		return 0
	}
	return r.Tokens - r.inUse
}

func (e *Engine) putReservation(w http.ResponseWriter, r *http.Request) {
	var v reservation
	if err := fault.Decode(w, r, 1<<16, &v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.ID = r.PathValue("id")
	if v.Tokens <= 0 {
		http.Error(w, "tokens must be positive", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	b := e.boot
	if existing := b.reservations[v.ID]; existing != nil {
		fault.WriteJSON(w, http.StatusOK, existing)
		return
	}
	if !b.kvMemory.allocate(v.Tokens) {
		refuse(w, http.StatusInsufficientStorage, "not enough KV memory")
		return
	}
	b.reservations[v.ID] = &v
	now := e.config.clock.Now()
	b.publish(e, now)
	b.recordLoad(now, e.faults.LoadLag)
	fault.WriteJSON(w, http.StatusOK, &v)
}

func (e *Engine) getReservations(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	list := []*reservation{}
	for _, v := range e.boot.reservations {
		list = append(list, v)
	}
	slices.SortFunc(list, func(x, y *reservation) int { return cmp.Compare(x.ID, y.ID) })
	fault.WriteJSON(w, http.StatusOK, list)
}

func (e *Engine) deleteReservation(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	b := e.boot
	if v := b.reservations[r.PathValue("id")]; v != nil {
		// Memory that a sequence still uses is freed when the sequence ends.
		b.kvMemory.free(v.available())
		v.deleted = true
		delete(b.reservations, v.ID)
		b.recordLoad(e.config.clock.Now(), e.faults.LoadLag)
		e.signal()
	}
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

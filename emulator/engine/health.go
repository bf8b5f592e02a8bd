package engine

import (
	"net/http"

	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// health is the response to GET /health.
type health struct {
	Ready   bool    `json:"ready"`
	Leaving bool    `json:"leaving"`
	BootID  string  `json:"boot-id"`
	Role    string  `json:"role"`
	Models  []Model `json:"models"`
}

func (e *Engine) getHealth(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	b := e.boot
	b.finishLoads(e.config.clock.Now())
	h := health{Ready: true, Leaving: e.faults.Leaving, BootID: b.id, Role: b.role, Models: append([]Model{}, b.models...)}
	e.mutex.Unlock()
	fault.WriteJSON(w, http.StatusOK, h)
}

package engine

import (
	"net/http"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// Record describes what an engine has done since New; restarts do not reset it.
type Record struct {
	Boot string `json:"boot-id"`
	// Runs lists the accepted prompts in order of arrival.
	Runs    []*Run          `json:"runs"`
	Orders  []RecordedOrder `json:"orders"`
	Refused int             `json:"refused"`
}

// Run describes an accepted prompt. Times are in Unix milliseconds, 0 if the event has not occurred.
type Run struct {
	Stream   string `json:"stream"`
	Boot     string `json:"boot-id"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Priority int    `json:"priority"`
	// Prompt is the xxhash64 of the prompt text as 16 hexadecimal digits.
	Prompt     string             `json:"prompt"`
	Tokens     poplarwinch.Tokens `json:"tokens"`
	Leaving    bool               `json:"leaving"`
	Crashed    bool               `json:"crashed"`
	Accepted   clock.Millis       `json:"accepted-ms"`
	Started    clock.Millis       `json:"started-ms"`
	FirstToken clock.Millis       `json:"first-token-ms"`
	Completed  clock.Millis       `json:"completed-ms"`
	Failed     clock.Millis       `json:"failed-ms"`
	Cancelled  clock.Millis       `json:"cancelled-ms"`
}

// RecordedOrder is a received order.
type RecordedOrder struct {
	At           clock.Millis `json:"at-ms"`
	FencingToken uint64       `json:"fencing-number"`
	Accepted     bool         `json:"accepted"`
	Role         string       `json:"role"`
	Models       []Model      `json:"models"`
}

func (r *Record) add(x Run) *Run {
	r.Runs = append(r.Runs, &x)
	return &x
}

// Record returns a copy of the engine's record.
func (e *Engine) Record() Record {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	out := e.record
	out.Boot = e.boot.id
	out.Runs = make([]*Run, len(e.record.Runs))
	for i, x := range e.record.Runs {
		c := *x
		out.Runs[i] = &c
	}
	out.Orders = append([]RecordedOrder{}, e.record.Orders...)
	return out
}

func (e *Engine) getRecord(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusOK, e.Record())
}

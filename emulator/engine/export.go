package engine

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// export is a copy of the prompt blocks of a stream. It occupies memory until it is deleted, even past its deadline.
type export struct {
	ID       string             `json:"id"`
	Stream   string             `json:"stream"`
	Owner    string             `json:"owner"`
	Request  string             `json:"request"`
	Tokens   poplarwinch.Tokens `json:"tokens"`
	Deadline clock.Millis       `json:"deadline-ms"`
	data     exportData
}

// exportData is the transfer format of exports and imports. Real engines transfer tensors; the emulator needs only
// the block hashes.
type exportData struct {
	Model  string   `json:"model"`
	Blocks []string `json:"blocks"`
}

func (e *Engine) postExport(w http.ResponseWriter, r *http.Request) {
	var v export
	if err := fault.Decode(w, r, 1<<16, &v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if v.ID == "" {
		http.Error(w, "field id is missing", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	b := e.boot
	if existing := b.exports[v.ID]; existing != nil {
		fault.WriteJSON(w, http.StatusOK, existing)
		return
	}
	s := b.sequences[v.Stream]
	if s == nil || s.phase == phaseCancelled {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	if s.phase == phaseWaiting || s.phase == phasePrefill {
		http.Error(w, "the stream has not finished prefill", http.StatusConflict)
		return
	}
	v.Tokens = poplarwinch.Tokens(len(s.hashes)) * b.kvMemory.blockTokens
	if !b.kvMemory.allocate(v.Tokens) {
		refuse(w, http.StatusInsufficientStorage, "not enough KV memory")
		return
	}
	v.data.Model = s.prompt.model
	for _, h := range s.hashes {
		v.data.Blocks = append(v.data.Blocks, formatHash(h))
	}
	b.exports[v.ID] = &v
	now := e.config.clock.Now()
	b.publish(e, now)
	b.recordLoad(now, e.faults.LoadLag)
	fault.WriteJSON(w, http.StatusOK, &v)
}

func (e *Engine) getExports(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	list := []*export{}
	for _, v := range e.boot.exports {
		list = append(list, v)
	}
	slices.SortFunc(list, func(x, y *export) int { return cmp.Compare(x.ID, y.ID) })
	fault.WriteJSON(w, http.StatusOK, list)
}

func (e *Engine) getExport(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	v := e.boot.exports[r.PathValue("id")]
	e.mutex.Unlock()
	if v == nil {
		http.Error(w, "unknown export", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(mustMarshal(v.data))
}

func (e *Engine) deleteExport(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	b := e.boot
	if v := b.exports[r.PathValue("id")]; v != nil {
		b.kvMemory.free(v.Tokens)
		delete(b.exports, v.ID)
		b.recordLoad(e.config.clock.Now(), e.faults.LoadLag)
		e.signal()
	}
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) postImport(w http.ResponseWriter, r *http.Request) {
	var v exportData
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	b := e.boot
	var added []uint64
	for _, text := range v.Blocks {
		h, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if b.kvMemory.blocks[h] != nil {
			continue
		}
		if !b.kvMemory.allocate(b.kvMemory.blockTokens) {
			break
		}
		b.kvMemory.free(b.kvMemory.blockTokens)
		b.kvMemory.insert(h, v.Model)
		added = append(added, h)
	}
	b.events.add(eventStored, v.Model, added)
	now := e.config.clock.Now()
	b.publish(e, now)
	b.recordLoad(now, e.faults.LoadLag)
	if len(added) == 0 && len(v.Blocks) > 0 && b.kvMemory.blocks[parseHash(v.Blocks[0])] == nil {
		refuse(w, http.StatusInsufficientStorage, "not enough KV memory")
		return
	}
	fault.WriteJSON(w, http.StatusOK, map[string]int{"blocks": len(added)})
}

package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// outcome is one line of the outcomes file: the result of one request as its caller saw it. Times are Unix milliseconds.
type outcome struct {
	ID        string `json:"id"` // Request-Id
	Work      string `json:"work"`
	Key       string `json:"key"` // Idempotency-Key of a call
	Entry     string `json:"entry"`
	Class     string `json:"class"`
	Status    status `json:"status"`
	Kind      string `json:"kind"`
	DueMillis int64  `json:"due-ms"`
	EndMillis int64  `json:"end-ms"`
	Late      bool   `json:"late"`
}

// outcomes writes outcomes as JSON lines, which are compared with the emulators' records after the run.
type outcomes struct {
	mutex sync.Mutex
	file  *os.File // nil discards all outcomes
	err   error
}

func openOutcomes(path string) (*outcomes, error) {
	if path == "" {
		return &outcomes{}, nil
	}
	f, err := os.Create(path)
	return &outcomes{file: f}, err
}

// add fills in o from r and writes it.
func (w *outcomes) add(o outcome, r result, due time.Time) {
	if w.file == nil {
		return
	}
	o.Status, o.Kind, o.Late = r.status, r.kind, r.late
	o.DueMillis, o.EndMillis = due.UnixMilli(), due.Add(r.elapsed).UnixMilli()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := json.NewEncoder(w.file).Encode(o); err != nil && w.err == nil {
		w.err = err
	}
}

// close closes the file and returns the first write error, since an incomplete file would hide violations.
func (w *outcomes) close() error {
	if w.file == nil {
		return nil
	}
	if err := w.file.Close(); w.err == nil {
		w.err = err
	}
	return w.err
}

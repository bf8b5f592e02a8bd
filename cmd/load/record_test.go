package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
)

// executionRecorder is a service that executes every call without deduplication and lists the executions.
type executionRecorder struct {
	mutex      sync.Mutex
	Executions []execution `json:"executions"`
}

type execution struct {
	Key string `json:"key"`
}

func (r *executionRecorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if request.URL.Path == "/record" {
		json.NewEncoder(w).Encode(r)
		return
	}
	r.Executions = append(r.Executions, execution{request.Header.Get("Idempotency-Key")})
}

func newTestRandom() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
)

// ledger stores the reported outcome of each call for the comparison with the record of executions.
type ledger struct {
	mutex   sync.Mutex
	entries map[string]reportedOutcome
}

// reportedOutcome summarizes the replies to all copies of one call.
type reportedOutcome struct{ completed, notRun bool }

func (l *ledger) add(key string, replies []callReply) {
	t := reportedOutcome{notRun: true}
	for _, r := range replies {
		t.completed = t.completed || r.result.status == statusCompleted
		t.notRun = t.notRun && r.result.status == statusRejected
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries[key] = t
}

// compare counts the calls that were executed more than once or whose replies contradict executions,
// the number of executions by key.
func (l *ledger) compare(executions map[string]uint64, f *figures) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recordRead = true
	for key, t := range l.entries {
		n := executions[key]
		if n > 1 {
			f.doubled++
		}
		if n > 0 && t.notRun {
			f.falseNotRun++
		}
		if n == 0 && t.completed {
			f.falseCompleted++
		}
	}
}

// fetchExecutions returns the number of executions of each key, summed over all service emulators.
func fetchExecutions(ctx context.Context, urls []string) (map[string]uint64, error) {
	executions := map[string]uint64{}
	for _, url := range urls {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, err
		}
		var record struct {
			Executions []struct {
				Key string `json:"key"`
			} `json:"executions"`
		}
		err = json.NewDecoder(response.Body).Decode(&record)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("record %s: status %d: %w", url, response.StatusCode, err)
		}
		for _, e := range record.Executions {
			executions[e.Key]++
		}
	}
	return executions, nil
}
